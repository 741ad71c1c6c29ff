#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "skr/trace.h"

enum
{
  KEY_SIZE = 32 /* bytes of an integer key or a short string key */
};

static void
release (void *value)
{
  json_decref (value);
}

static int
names_init (struct tr_names *names)
{
  if (apr_pool_create (&names->pool, NULL) != APR_SUCCESS)
    return TR_ENOMEM;
  names->index = apr_hash_make (names->pool);
  names->value = g_ptr_array_new_with_free_func (release);
  return TR_OK;
}

static void
names_fini (struct tr_names *names)
{
  if (names->value)
    g_ptr_array_free (names->value, TRUE);
  if (names->pool)
    apr_pool_destroy (names->pool);
}

int
tr_tables_init (struct tr_tables *tables)
{
  memset (tables, 0, sizeof *tables);
  if (names_init (&tables->worker) || names_init (&tables->rack)
      || names_init (&tables->domain) || names_init (&tables->account)
      || names_init (&tables->job))
    {
      tr_tables_fini (tables);
      return TR_ENOMEM;
    }
  return TR_OK;
}

void
tr_tables_fini (struct tr_tables *tables)
{
  names_fini (&tables->worker);
  names_fini (&tables->rack);
  names_fini (&tables->domain);
  names_fini (&tables->account);
  names_fini (&tables->job);
  memset (tables, 0, sizeof *tables);
}

/* Sets KEY to the hash key of VALUE and returns its length.  The key of a
   string starts with a quote so that "1" and 1 differ.  The key is in BUFFER
   or allocated from the pool of NAMES.  */
static apr_ssize_t
key_of (const struct tr_names *names, json_t *value, char buffer[KEY_SIZE],
        const char **key)
{
  if (json_is_integer (value))
    {
      *key = buffer;
      return snprintf (buffer, KEY_SIZE, "%lld",
                       (long long)json_integer_value (value));
    }
  if (json_string_length (value) + 2 <= KEY_SIZE)
    {
      *key = buffer;
      return snprintf (buffer, KEY_SIZE, "\"%s", json_string_value (value));
    }
  *key = apr_pstrcat (names->pool, "\"", json_string_value (value), NULL);
  return (apr_ssize_t)strlen (*key);
}

int64_t
tr_name_find (const struct tr_names *names, json_t *value)
{
  char buffer[KEY_SIZE];
  const char *key;
  apr_ssize_t length = key_of (names, value, buffer, &key);
  const uint32_t *handle = apr_hash_get (names->index, key, length);

  return handle ? (int64_t)*handle : TR_NONE;
}

uint32_t
tr_name_add (struct tr_names *names, json_t *value)
{
  char buffer[KEY_SIZE];
  const char *key;
  apr_ssize_t length = key_of (names, value, buffer, &key);
  uint32_t *handle = apr_hash_get (names->index, key, length);

  if (handle)
    return *handle;
  handle = apr_palloc (names->pool, sizeof *handle);
  *handle = names->value->len;
  if (key == buffer)
    key = apr_pstrmemdup (names->pool, key, (apr_size_t)length);
  apr_hash_set (names->index, key, length, handle);
  g_ptr_array_add (names->value, json_incref (value));
  return *handle;
}

uint32_t
tr_name_next (struct tr_names *names, const char *prefix)
{
  json_t *value = json_sprintf ("%s%u", prefix, names->value->len);
  uint32_t handle = tr_name_add (names, value);

  json_decref (value);
  return handle;
}

json_t *
tr_name_value (const struct tr_names *names, uint32_t handle)
{
  return g_ptr_array_index (names->value, handle);
}
