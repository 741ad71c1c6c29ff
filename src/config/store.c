#include <stdio.h>
#include <string.h>

#include "config/config.h"

const char *
cf_strerror (int error)
{
  switch ((enum cf_error)error)
    {
    case CF_OK:
      return "success";
    case CF_EINVAL:
      return "malformed configuration";
    case CF_ENOMEM:
      return "out of memory";
    case CF_EFIT:
      return "the guarantees do not fit together";
    case CF_ENOTNEWER:
      return "not newer than the configuration in force";
    case CF_ECONFLICT:
      return "the configuration has another version";
    }
  return "unknown error";
}

int
cf_init (struct cf_store *store)
{
  *store = (struct cf_store){ .plans = NULL };
  return pthread_rwlock_init (&store->lock, NULL) ? CF_ENOMEM : CF_OK;
}

void
cf_fini (struct cf_store *store)
{
  json_decref (store->plans);
  json_decref (store->allowances);
  json_decref (store->split);
  json_decref (store->rows);
  pthread_rwlock_destroy (&store->lock);
}

const json_t *
cf_row (const json_t *rows, const char *key)
{
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    const char *name = json_string_value (json_object_get (row, "key"));

    if (name && !strcmp (name, key)
        && !json_is_true (json_object_get (row, "deleted")))
      return row;
  }
  return NULL;
}

int64_t
cf_value_version (const json_t *value)
{
  return json_integer_value (json_object_get (value, "version"));
}

static json_t **
list_slot (struct cf_store *store, const char *list)
{
  if (!strcmp (list, CF_PLANS))
    return &store->plans;
  if (!strcmp (list, CF_ALLOWANCES))
    return &store->allowances;
  return &store->split;
}

static void
replace_list (json_t **slot, json_t *value)
{
  json_incref (value);
  json_decref (*slot);
  *slot = value;
}

/* True when the split is newer and neither other list is older than the one in
   force.  A list that was never written has no row; its value is NULL and its
   version 0.  */
static int
is_newer (struct cf_store *store, json_t *plans, json_t *allowances,
          json_t *split)
{
  int64_t p = cf_value_version (plans), a = cf_value_version (allowances);
  int64_t s = cf_value_version (split);

  if (p < cf_value_version (store->plans)
      || a < cf_value_version (store->allowances))
    return 0;
  return s > cf_value_version (store->split);
}

int
cf_replace_lists (struct cf_store *store, json_t *plans, json_t *allowances,
                  json_t *split, json_t *rows)
{
  char reason[CF_REASON_SIZE];
  int error = CF_ENOTNEWER;

  if (!split)
    return CF_ENOTNEWER;
  if ((plans && cf_check_plans (json_object_get (plans, "list"), reason))
      || (allowances
          && cf_check_allowances (json_object_get (allowances, "list"),
                                  reason)))
    return CF_EINVAL;
  pthread_rwlock_wrlock (&store->lock);
  if (is_newer (store, plans, allowances, split))
    {
      replace_list (&store->plans, plans);
      replace_list (&store->allowances, allowances);
      replace_list (&store->split, split);
      replace_list (&store->rows, rows);
      error = CF_OK;
    }
  pthread_rwlock_unlock (&store->lock);
  return error;
}

int
cf_apply (struct cf_store *store, const json_t *heads)
{
  return cf_replace_lists (
      store, json_object_get (cf_row (heads, CF_PLANS), "value"),
      json_object_get (cf_row (heads, CF_ALLOWANCES), "value"),
      json_object_get (cf_row (heads, CF_SPLIT), "value"), NULL);
}

json_t *
cf_rows (struct cf_store *store)
{
  json_t *rows;

  pthread_rwlock_rdlock (&store->lock);
  rows = json_incref (store->rows);
  pthread_rwlock_unlock (&store->lock);
  return rows;
}

int64_t
cf_version (struct cf_store *store, const char *list)
{
  int64_t version;

  pthread_rwlock_rdlock (&store->lock);
  version = cf_value_version (*list_slot (store, list));
  pthread_rwlock_unlock (&store->lock);
  return version;
}

json_t *
cf_list (struct cf_store *store, const char *list)
{
  json_t *value;

  pthread_rwlock_rdlock (&store->lock);
  value = json_incref (*list_slot (store, list));
  pthread_rwlock_unlock (&store->lock);
  return value;
}

static void
copy_name (char *out, size_t size, const json_t *entry, const char *field)
{
  const char *s = json_string_value (json_object_get (entry, field));

  snprintf (out, size, "%s", s ? s : "");
}

static int64_t
integer_field (const json_t *entry, const char *field)
{
  return json_integer_value (json_object_get (entry, field));
}

static void
fill_account (struct cf_store *store, const json_t *entry,
              struct cf_account *account)
{
  const json_t *a;

  copy_name (account->name, sizeof account->name, entry, "account");
  copy_name (account->plan, sizeof account->plan, entry, "plan");
  copy_name (account->key_digest, sizeof account->key_digest, entry,
             "key_digest");
  a = cf_allowance (json_object_get (store->allowances, "list"),
                    account->plan);
  account->calls_per_second = integer_field (a, "calls_per_second");
  account->concurrent_calls = integer_field (a, "concurrent_calls");
  account->queued_jobs = integer_field (a, "queued_jobs");
  account->shape_count
      = cf_read_shapes (json_object_get (a, "guarantee"), account->shape);
}

static int
find_account_by (struct cf_store *store, const char *field, const char *text,
                 struct cf_account *account)
{
  size_t i;
  json_t *e;
  int error = CF_EINVAL;

  pthread_rwlock_rdlock (&store->lock);
  json_array_foreach (json_object_get (store->plans, "list"), i, e)
  {
    const char *s = json_string_value (json_object_get (e, field));

    if (!s || strcmp (s, text) != 0)
      continue;
    fill_account (store, e, account);
    error = CF_OK;
    break;
  }
  pthread_rwlock_unlock (&store->lock);
  return error;
}

int
cf_find_account (struct cf_store *store, const char *name,
                 struct cf_account *account)
{
  return find_account_by (store, "account", name, account);
}

int
cf_find_digest (struct cf_store *store, const char *key_digest,
                struct cf_account *account)
{
  return find_account_by (store, "key_digest", key_digest, account);
}

void
cf_foreach_account (struct cf_store *store,
                    void (*fn) (void *arg, const struct cf_account *),
                    void *arg)
{
  size_t i;
  json_t *e;

  pthread_rwlock_rdlock (&store->lock);
  json_array_foreach (json_object_get (store->plans, "list"), i, e)
  {
    struct cf_account account;

    fill_account (store, e, &account);
    fn (arg, &account);
  }
  pthread_rwlock_unlock (&store->lock);
}

static json_t *
cells_of_account (struct cf_store *store, const char *account)
{
  return json_object_get (json_object_get (store->split, "split"), account);
}

int
cf_guarantee (struct cf_store *store, const char *account, const char *cell,
              struct dc_shape *shape)
{
  int n;

  pthread_rwlock_rdlock (&store->lock);
  n = cf_read_shapes (
      json_object_get (cells_of_account (store, account), cell), shape);
  pthread_rwlock_unlock (&store->lock);
  return n;
}

int
cf_home_cells (struct cf_store *store, const char *account,
               char cell[][CF_NAME_SIZE], int max)
{
  const char *key;
  json_t *value;
  int n = 0;

  pthread_rwlock_rdlock (&store->lock);
  json_object_foreach (cells_of_account (store, account), key, value)
  {
    if (n < max)
      snprintf (cell[n++], CF_NAME_SIZE, "%s", key);
  }
  pthread_rwlock_unlock (&store->lock);
  return n;
}
