#include <string.h>

#include "store.h"

struct row
{
  int64_t version; /* revision of the transaction that wrote it */
  json_t *value;   /* NULL once deleted */
};

static void
row_free (void *arg)
{
  struct row *row = arg;

  json_decref (row->value);
  g_free (row);
}

static int
compare_keys (const void *a, const void *b, void *arg)
{
  (void)arg;
  return strcmp (a, b);
}

static void
tree_free (void *arg)
{
  g_tree_destroy (arg);
}

void
sp_store_init (struct sp_store *store)
{
  store->rev = 0;
  store->tables
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, tree_free);
}

void
sp_store_fini (struct sp_store *store)
{
  g_hash_table_destroy (store->tables);
}

static GTree *
get_table (struct sp_store *store, const char *name)
{
  GTree *tree = g_hash_table_lookup (store->tables, name);

  if (tree)
    return tree;
  tree = g_tree_new_full (compare_keys, NULL, g_free, row_free);
  g_hash_table_insert (store->tables, g_strdup (name), tree);
  return tree;
}

static struct row *
find_row (const struct sp_store *store, const char *table, const char *key)
{
  GTree *tree = g_hash_table_lookup (store->tables, table);

  return tree ? g_tree_lookup (tree, key) : NULL;
}

static void
put_row (GTree *tree, const char *key, int64_t version, json_t *value)
{
  struct row *row = g_new (struct row, 1);

  row->version = version;
  row->value = value ? json_incref (value) : NULL;
  g_tree_replace (tree, g_strdup (key), row);
}

static int
copy_row (void *key, void *value, void *arg)
{
  const struct row *row = value;

  put_row (arg, key, row->version, row->value);
  return 0;
}

void
sp_store_copy (struct sp_store *to, const struct sp_store *from)
{
  GHashTableIter it;
  void *name, *tree;

  sp_store_init (to);
  to->rev = from->rev;
  g_hash_table_iter_init (&it, from->tables);
  while (g_hash_table_iter_next (&it, &name, &tree))
    g_tree_foreach (tree, copy_row, get_table (to, name));
}

static json_t *
describe_row (const char *table, const char *key, const struct row *row)
{
  json_t *o
      = json_pack ("{s:s, s:s, s:I}", "table", table, "key", key, "version",
                   (json_int_t)(row && row->value ? row->version : 0));

  if (row && row->value)
    json_object_set (o, "value", row->value);
  return o;
}

/* Adds the checked row to CONFLICTS when it has another version than CHECK
   expects.  */
static int
run_check (const struct sp_store *store, json_t *check, json_t *conflicts)
{
  const char *table, *key;
  json_int_t version;
  const struct row *row;

  if (json_unpack (check, "{s:s, s:s, s:I !}", "table", &table, "key", &key,
                   "version", &version))
    return SP_EINVAL;
  row = find_row (store, table, key);
  if ((row && row->value ? row->version : 0) != version)
    json_array_append_new (conflicts, describe_row (table, key, row));
  return SP_OK;
}

static int
parse_op (json_t *op, const char **table, const char **key, json_t **value)
{
  const char *name;

  *value = NULL;
  if (json_unpack (op, "{s:s, s:s, s:s, s?o !}", "op", &name, "table", table,
                   "key", key, "value", value))
    return SP_EINVAL;
  if (!strcmp (name, "put"))
    return json_is_object (*value) ? SP_OK : SP_EINVAL;
  return !strcmp (name, "delete") && !*value ? SP_OK : SP_EINVAL;
}

static void
apply_ops (struct sp_store *store, json_t *ops)
{
  const char *table, *key;
  json_t *op, *value;
  size_t i;

  store->rev++;
  json_array_foreach (ops, i, op)
  {
    parse_op (op, &table, &key, &value);
    put_row (get_table (store, table), key, store->rev, value);
  }
}

static int
parse_txn (json_t *txn, json_t **checks, json_t **ops)
{
  const char *table, *key;
  json_t *op, *value;
  size_t i;

  *checks = *ops = NULL;
  if (json_unpack (txn, "{s?o, s?o !}", "checks", checks, "ops", ops))
    return SP_EINVAL;
  if ((*checks && !json_is_array (*checks)) || (*ops && !json_is_array (*ops)))
    return SP_EINVAL;
  json_array_foreach (*ops, i, op)
  {
    if (parse_op (op, &table, &key, &value) != SP_OK)
      return SP_EINVAL;
  }
  return SP_OK;
}

static int
reject_malformed (json_t **answer)
{
  *answer = json_pack ("{s:s}", "error", "malformed transaction");
  return SP_EINVAL;
}

int
sp_store_commit (struct sp_store *store, json_t *txn, json_t **answer)
{
  json_t *checks, *ops, *check, *conflicts;
  size_t i;

  if (parse_txn (txn, &checks, &ops) != SP_OK)
    return reject_malformed (answer);
  conflicts = json_array ();
  json_array_foreach (checks, i, check)
  {
    if (run_check (store, check, conflicts) != SP_OK)
      {
        json_decref (conflicts);
        return reject_malformed (answer);
      }
  }
  if (json_array_size (conflicts))
    {
      *answer = json_pack ("{s:o}", "conflicts", conflicts);
      return SP_ECONFLICT;
    }
  json_decref (conflicts);
  apply_ops (store, ops);
  *answer = json_pack ("{s:I}", "rev", (json_int_t)store->rev);
  return SP_OK;
}

json_t *
sp_store_get (const struct sp_store *store, const char *table, const char *key)
{
  const struct row *row = find_row (store, table, key);

  return row && row->value ? describe_row (table, key, row) : NULL;
}

static GTreeNode *
first_node (GTree *tree, const struct sp_scan *scan)
{
  const char *prefix = scan->prefix ? scan->prefix : "";

  if (scan->after_key && strcmp (scan->after_key, prefix) >= 0)
    return g_tree_upper_bound (tree, scan->after_key);
  return g_tree_lower_bound (tree, prefix);
}

static json_t *
scan_row (const char *table, const char *key, const struct row *row,
          int64_t since)
{
  json_t *o;

  if (row->version <= since || (!row->value && !since))
    return NULL;
  o = describe_row (table, key, row);
  if (!row->value)
    {
      json_object_set_new (o, "version", json_integer (row->version));
      json_object_set_new (o, "deleted", json_true ());
    }
  return o;
}

json_t *
sp_store_scan (const struct sp_store *store, const char *table,
               const struct sp_scan *scan)
{
  GTree *tree = g_hash_table_lookup (store->tables, table);
  json_t *rows = json_array ();
  int more = 0;

  for (GTreeNode *n = tree ? first_node (tree, scan) : NULL; n;
       n = g_tree_node_next (n))
    {
      const char *key = g_tree_node_key (n);
      json_t *o;

      if (scan->prefix && !g_str_has_prefix (key, scan->prefix))
        break;
      o = scan_row (table, key, g_tree_node_value (n), scan->since);
      if (!o)
        continue;
      if ((int64_t)json_array_size (rows) == scan->limit)
        {
          json_decref (o);
          more = 1;
          break;
        }
      json_array_append_new (rows, o);
    }
  return json_pack ("{s:I, s:o, s:b}", "rev", (json_int_t)store->rev, "rows",
                    rows, "more", more);
}
