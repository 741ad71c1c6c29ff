#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "config/config.h"

static int
fail (char *reason, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (reason, CF_REASON_SIZE, format, args);
  va_end (args);
  return CF_EINVAL;
}

static int
check_known_fields (const json_t *entry, const char *const *known,
                    char *reason)
{
  const char *key;
  json_t *value;

  json_object_foreach (
      (json_t *)entry, key,
      value) if (!g_strv_contains (known,
                                   key)) return fail (reason,
                                                      "unknown field \"%s\"",
                                                      key);
  return CF_OK;
}

static int
is_name (const json_t *value)
{
  const char *s = json_string_value (value);
  size_t n = s ? strlen (s) : 0;

  return n && n < CF_NAME_SIZE
         && strspn (s, "abcdefghijklmnopqrstuvwxyz0123456789-_.") == n;
}

static int
is_digest (const json_t *value)
{
  const char *s = json_string_value (value);

  return s && strlen (s) == BS_DIGEST_SIZE - 1
         && strspn (s, "0123456789abcdef") == BS_DIGEST_SIZE - 1;
}

/* Adds the string field NAME of ENTRY to SEEN; fails when SEEN contains it
   already.  */
static int
check_unique (GHashTable *seen, const json_t *entry, const char *name,
              char *reason)
{
  const char *text = json_string_value (json_object_get (entry, name));

  if (!g_hash_table_add (seen, (gpointer)text))
    return fail (reason, "%s \"%s\" stands twice", name, text);
  return CF_OK;
}

static int
check_plan_entry (const json_t *e, char *reason)
{
  static const char *const known[] = { "account", "plan", "key_digest", NULL };

  if (!json_is_object (e))
    return fail (reason, "an entry is not an object");
  if (check_known_fields (e, known, reason))
    return CF_EINVAL;
  if (!is_name (json_object_get (e, "account")))
    return fail (reason, "\"account\" must be 1 to %d of a-z 0-9 - _ .",
                 CF_NAME_SIZE - 1);
  if (!is_name (json_object_get (e, "plan")))
    return fail (reason, "account \"%s\": \"plan\" is not a name",
                 json_string_value (json_object_get (e, "account")));
  if (!is_digest (json_object_get (e, "key_digest")))
    return fail (reason,
                 "account \"%s\": \"key_digest\" must be 64 hex digits",
                 json_string_value (json_object_get (e, "account")));
  return CF_OK;
}

int
cf_check_plans (const json_t *list, char *reason)
{
  GHashTable *names, *digests;
  size_t i;
  json_t *e;
  int error = CF_OK;

  if (!json_is_array (list) || json_array_size (list) > CF_MAX_ACCOUNTS)
    return fail (reason, "the list must be an array of at most %d",
                 CF_MAX_ACCOUNTS);
  names = g_hash_table_new (g_str_hash, g_str_equal);
  digests = g_hash_table_new (g_str_hash, g_str_equal);
  json_array_foreach (list, i, e)
  {
    error = check_plan_entry (e, reason);
    if (!error)
      error = check_unique (names, e, "account", reason);
    if (!error)
      error = check_unique (digests, e, "key_digest", reason);
    if (error)
      break;
  }
  g_hash_table_destroy (names);
  g_hash_table_destroy (digests);
  return error;
}

static int
in_range (const json_t *value, json_int_t min, json_int_t max)
{
  return json_is_integer (value) && json_integer_value (value) >= min
         && json_integer_value (value) <= max;
}

static int
check_shapes (const json_t *list, const char *plan, char *reason)
{
  static const char *const known[] = { "size", "count", NULL };
  size_t i;
  json_t *e;

  if (!json_is_array (list) || json_array_size (list) > DC_MAX_SHAPES)
    return fail (reason,
                 "plan \"%s\": \"guarantee\" must be at most %d shapes", plan,
                 DC_MAX_SHAPES);
  json_array_foreach (list, i, e)
  {
    if (!json_is_object (e) || check_known_fields (e, known, reason))
      return fail (reason, "plan \"%s\": a shape has \"size\" and \"count\"",
                   plan);
    if (!in_range (json_object_get (e, "size"), 1, DC_MAX_TASKS)
        || !in_range (json_object_get (e, "count"), 1, CF_MAX_RATE))
      return fail (reason, "plan \"%s\": size or count out of range", plan);
  }
  return CF_OK;
}

static int
check_allowance (const json_t *e, char *reason)
{
  static const char *const limits[]
      = { "calls_per_second", "concurrent_calls", "queued_jobs" };
  static const char *const known[]
      = { "plan",        "guarantee", "calls_per_second", "concurrent_calls",
          "queued_jobs", NULL };
  const char *plan;

  if (!json_is_object (e))
    return fail (reason, "an entry is not an object");
  if (check_known_fields (e, known, reason))
    return CF_EINVAL;
  if (!is_name (json_object_get (e, "plan")))
    return fail (reason, "\"plan\" must be 1 to %d of a-z 0-9 - _ .",
                 CF_NAME_SIZE - 1);
  plan = json_string_value (json_object_get (e, "plan"));
  for (size_t i = 0; i < G_N_ELEMENTS (limits); i++)
    if (!in_range (json_object_get (e, limits[i]), 0, CF_MAX_RATE))
      return fail (reason, "plan \"%s\": \"%s\" must be 0 to %d", plan,
                   limits[i], CF_MAX_RATE);
  return check_shapes (json_object_get (e, "guarantee"), plan, reason);
}

int
cf_check_allowances (const json_t *list, char *reason)
{
  GHashTable *names;
  size_t i;
  json_t *e;
  int error = CF_OK;

  if (!json_is_array (list) || json_array_size (list) > CF_MAX_ACCOUNTS)
    return fail (reason, "the list must be an array of at most %d",
                 CF_MAX_ACCOUNTS);
  names = g_hash_table_new (g_str_hash, g_str_equal);
  json_array_foreach (list, i, e)
  {
    error = check_allowance (e, reason);
    if (!error)
      error = check_unique (names, e, "plan", reason);
    if (error)
      break;
  }
  g_hash_table_destroy (names);
  return error;
}

const json_t *
cf_allowance (const json_t *allowances, const char *plan)
{
  size_t i;
  json_t *e;

  json_array_foreach (allowances, i, e)
  {
    const char *name = json_string_value (json_object_get (e, "plan"));

    if (name && plan && !strcmp (name, plan))
      return e;
  }
  return NULL;
}

int
cf_check_plan_references (const json_t *plans, const json_t *allowances,
                          char *reason)
{
  size_t i;
  json_t *e;

  json_array_foreach (plans, i, e)
  {
    const char *plan = json_string_value (json_object_get (e, "plan"));

    if (!cf_allowance (allowances, plan))
      return fail (reason,
                   "account \"%s\" has plan \"%s\", which has no allowance",
                   json_string_value (json_object_get (e, "account")), plan);
  }
  return CF_OK;
}

int
cf_read_shapes (const json_t *guarantee, struct dc_shape *shape)
{
  size_t i;
  json_t *e;
  int n = 0;

  json_array_foreach (guarantee, i, e)
  {
    if (n == DC_MAX_SHAPES)
      break;
    shape[n].size = (int32_t)json_integer_value (json_object_get (e, "size"));
    shape[n].count
        = (int32_t)json_integer_value (json_object_get (e, "count"));
    n++;
  }
  return n;
}
