#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skr/config.h"
#include "suite.h"

#define DIGEST_A                                                              \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B                                                              \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

enum
{
  FLEET_SIZE = 6 /* workers: three cells with two each */
};

enum
{
  PAGE_ROWS = 2 /* rows in one page of the fake platform */
};

static struct cf_worker fleet[FLEET_SIZE];
/* All rows of the fake platform, ordered by table and key.  */
static json_t *rows;
static int64_t rev;
static int scans, scanned; /* scans answered, rows returned */

static json_t *
parse (const char *text)
{
  json_t *value = json_loads (text, 0, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (value);
  return value;
}

static const char *
string_field (const json_t *o, const char *name)
{
  return json_string_value (json_object_get (o, name));
}

static int64_t
version_of (const json_t *row)
{
  return json_integer_value (json_object_get (row, "version"));
}

/* Returns the index of the row of TABLE and KEY, or the index at which it has
   to be inserted; *FOUND is the row or NULL.  */
static size_t
find_row (const char *table, const char *key, json_t **found)
{
  size_t i;
  json_t *row;

  *found = NULL;
  json_array_foreach (rows, i, row)
  {
    int order = strcmp (string_field (row, "table"), table);

    if (!order)
      order = strcmp (string_field (row, "key"), key);
    if (!order)
      *found = row;
    if (order >= 0)
      return i;
  }
  return json_array_size (rows);
}

static void
put (const char *table, const char *key, json_t *value)
{
  json_t *row;
  size_t at = find_row (table, key, &row);

  if (!row)
    {
      row = json_pack ("{s:s,s:s}", "table", table, "key", key);
      json_array_insert_new (rows, at, row);
    }
  json_object_set_new (row, "version", json_integer (rev));
  if (value)
    {
      json_object_set (row, "value", value);
      json_object_del (row, "deleted");
      return;
    }
  json_object_del (row, "value");
  json_object_set_new (row, "deleted", json_true ());
}

/* Applies TXN as the platform does; returns 0 when a version check fails.  */
static int
commit (const struct tb_txn *txn)
{
  size_t i;
  json_t *o, *row;

  json_array_foreach (txn->checks, i, o)
  {
    find_row (string_field (o, "table"), string_field (o, "key"), &row);
    if (version_of (o) != version_of (row))
      return 0;
  }
  rev++;
  json_array_foreach (txn->ops, i, o)
  {
    put (string_field (o, "table"), string_field (o, "key"),
         json_object_get (o, "value"));
  }
  return 1;
}

static json_t *
answer_scan (const struct tb_scan *scan)
{
  json_t *page = json_array (), *row;
  int more = 0;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    if (strcmp (string_field (row, "table"), scan->table) != 0
        || (scan->after
            && strcmp (string_field (row, "key"), scan->after) <= 0)
        || version_of (row) <= scan->since
        || (!scan->since && json_object_get (row, "deleted")))
      continue;
    more = json_array_size (page) == PAGE_ROWS
           && strcmp (scan->table, CF_TABLE) != 0;
    if (more)
      break;
    json_array_append_new (page, json_deep_copy (row));
  }
  scans++;
  scanned += (int)json_array_size (page);
  return json_pack ("{s:I,s:o,s:b}", "rev", (json_int_t)rev, "rows", page,
                    "more", more);
}

/* Answers the scan NEXT and passes the answer_scan to the reader.  */
static enum cf_read_state
step (struct cf_reader *r, struct cf_store *store, struct tb_scan *next)
{
  json_t *data = answer_scan (next);
  enum cf_read_state end = cf_read_answer (r, store, 0, data, next);

  json_decref (data);
  return end;
}

static enum cf_read_state
read_table (struct cf_reader *r, struct cf_store *store)
{
  struct tb_scan next;
  enum cf_read_state end;

  scans = scanned = 0;
  CU_ASSERT_TRUE_FATAL (cf_read_begin (r, &next));
  do
    end = step (r, store, &next);
  while (end == CF_READ_MORE);
  return end;
}

/* The reader of a daemon that polls the lists.  */
static struct cf_reader poller;

static enum cf_read_state
poll_lists (struct cf_store *store)
{
  return read_table (&poller, store);
}

static int
propose (struct cf_store *store, const char *list, int64_t version,
         const char *text, struct tb_txn *txn)
{
  char reason[CF_REASON_SIZE] = "";
  json_t *new_list = parse (text);
  struct cf_reader table;
  int error;

  cf_reader_init (&table, 1);
  CU_ASSERT_EQUAL (read_table (&table, store), CF_READ_FETCHED);
  error = cf_propose (store, &table, list, version, new_list, fleet,
                      FLEET_SIZE, 0, txn, reason);
  cf_reader_fini (&table);
  json_decref (new_list);
  return error;
}

static int
change (struct cf_store *store, const char *list, int64_t version,
        const char *text)
{
  struct tb_txn txn;
  int error;

  tb_txn_init (&txn);
  error = propose (store, list, version, text, &txn);
  if (!error && !commit (&txn))
    error = CF_ECONFLICT;
  tb_txn_fini (&txn);
  return error;
}

/* Writes the lists in force back if the table is older; returns 0 if it is
   not.  */
static int
repair (struct cf_store *store)
{
  struct tb_txn txn;
  int done;

  if (poll_lists (store) != CF_READ_TABLE_OUTDATED)
    return 0;
  tb_txn_init (&txn);
  done = cf_repair (store, &poller, &txn) && commit (&txn);
  tb_txn_fini (&txn);
  return done;
}

static const char allowances_text[]
    = "[{\"plan\":\"gold\",\"guarantee\":[{\"size\":8,\"count\":1}],"
      "\"calls_per_second\":10,\"concurrent_calls\":5,\"queued_jobs\":9}]";
static const char plans_text[] = "[{\"account\":\"desk\",\"plan\":\"gold\","
                                 "\"key_digest\":\"" DIGEST_A "\"}]";

static void
setup (struct cf_store *store)
{
  json_decref (rows);
  rows = json_array ();
  rev = 0;
  cf_reader_fini (&poller);
  cf_reader_init (&poller, 0);
  for (int i = 0; i < FLEET_SIZE; i++)
    {
      fleet[i] = (struct cf_worker){ .accelerators = 8, .slots = 8 };
      strcpy (fleet[i].rack, "r0");
      strcpy (fleet[i].cell, "c0");
      fleet[i].rack[1] = fleet[i].cell[1] = (char)('0' + i / 2);
    }
  CU_ASSERT_EQUAL (cf_init (store), CF_OK);
}

static void
setup_lists (struct cf_store *store)
{
  setup (store);
  CU_ASSERT_EQUAL (change (store, CF_ALLOWANCES, 0, allowances_text), CF_OK);
  CU_ASSERT_EQUAL (change (store, CF_PLANS, 0, plans_text), CF_OK);
  CU_ASSERT_EQUAL (poll_lists (store), CF_READ_APPLIED);
}

static enum cf_change_end
judge (struct cf_store *store, int64_t version, const char *text)
{
  json_t *list = parse (text);
  struct cf_reader table;
  enum cf_change_end end;

  cf_reader_init (&table, 1);
  CU_ASSERT_EQUAL (read_table (&table, store), CF_READ_FETCHED);
  end = cf_judge_change (&table, CF_ALLOWANCES, version, list);
  cf_reader_fini (&table);
  json_decref (list);
  return end;
}

/* Guards against a conflict for a change that was made, its answer lost, and
   then changed by another operator.  */
static void
test_change_without_an_answer (void)
{
  struct cf_store store;

  setup_lists (&store);
  CU_ASSERT_EQUAL (judge (&store, 0, allowances_text), CF_CHANGE_STORED);
  CU_ASSERT_EQUAL (judge (&store, 0, "[]"), CF_CHANGE_NOT_STORED);
  CU_ASSERT_EQUAL (judge (&store, 1, allowances_text), CF_CHANGE_NOT_STORED);
  CU_ASSERT_EQUAL (change (&store, CF_ALLOWANCES, 1, allowances_text), CF_OK);
  CU_ASSERT_EQUAL (judge (&store, 0, allowances_text), CF_CHANGE_UNKNOWN);
  CU_ASSERT_EQUAL (judge (&store, 1, allowances_text), CF_CHANGE_STORED);
  cf_fini (&store);
}

static void
test_accepted_lists_are_in_force (void)
{
  struct cf_store store;
  struct cf_account account;
  char cell[4][CF_NAME_SIZE];
  struct dc_shape shape[DC_MAX_SHAPES];

  setup_lists (&store);
  CU_ASSERT_EQUAL (cf_find_digest (&store, DIGEST_A, &account), CF_OK);
  CU_ASSERT_STRING_EQUAL (account.name, "desk");
  CU_ASSERT_EQUAL (account.concurrent_calls, 5);
  CU_ASSERT_EQUAL (cf_home_cells (&store, "desk", cell, 4), 1);
  CU_ASSERT_EQUAL (cf_guarantee (&store, "desk", cell[0], shape), 1);
  CU_ASSERT_EQUAL (shape[0].size, 8);
  CU_ASSERT_EQUAL (cf_find_digest (&store, DIGEST_B, &account), CF_EINVAL);
  cf_fini (&store);
}

static void
test_racing_operators_conflict (void)
{
  struct cf_store store;
  struct tb_txn first, second;

  setup_lists (&store);
  tb_txn_init (&first);
  tb_txn_init (&second);
  CU_ASSERT_EQUAL (propose (&store, CF_PLANS, 1, "[]", &first), CF_OK);
  CU_ASSERT_EQUAL (
      propose (&store, CF_ALLOWANCES, 1, allowances_text, &second), CF_OK);
  CU_ASSERT_TRUE (commit (&first));
  CU_ASSERT_FALSE (commit (&second));
  tb_txn_fini (&first);
  tb_txn_fini (&second);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 1, plans_text), CF_ECONFLICT);
  cf_fini (&store);
}

static void
test_whole_list_is_checked (void)
{
  static const char too_much[]
      = "[{\"plan\":\"gold\",\"guarantee\":[{\"size\":8,\"count\":7}],"
        "\"calls_per_second\":10,\"concurrent_calls\":5,\"queued_jobs\":9}]";
  struct cf_store store;

  setup_lists (&store);
  CU_ASSERT_EQUAL (change (&store, CF_ALLOWANCES, 1, too_much), CF_EFIT);
  CU_ASSERT_EQUAL (change (&store, CF_ALLOWANCES, 1, "[]"), CF_EINVAL);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 1, "[{\"account\":\"x\"}]"),
                   CF_EINVAL);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 1, "{}"), CF_EINVAL);
  CU_ASSERT_EQUAL (change (&store, "other", 1, "[]"), CF_EINVAL);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_UNCHANGED);
  CU_ASSERT_EQUAL (cf_version (&store, CF_ALLOWANCES), 1);
  cf_fini (&store);
}

static void
test_restored_table_never_reverts (void)
{
  struct cf_store store;
  json_t *snapshot;

  setup_lists (&store);
  snapshot = json_deep_copy (rows);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 1, "[]"), CF_OK);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  CU_ASSERT_EQUAL (cf_version (&store, CF_PLANS), 2);
  json_decref (rows);
  rows = snapshot;
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_TABLE_OUTDATED);
  CU_ASSERT_EQUAL (cf_version (&store, CF_PLANS), 2);
  CU_ASSERT_TRUE (repair (&store));
  CU_ASSERT_FALSE (repair (&store));
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_UNCHANGED);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 1, plans_text), CF_ECONFLICT);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 2, plans_text), CF_OK);
  cf_fini (&store);
}

/* Writes a plans list of the accounts whose bit is set in BITS, each with a
   different key digest.  */
static void
format_plans (unsigned bits, char key, char *out, size_t size)
{
  size_t n = 0;

  out[n++] = '[';
  for (int i = 0; i < 16; i++)
    if (bits & 1u << i)
      n += (size_t)snprintf (out + n, size - n,
                             "%s{\"account\":\"a%02d\",\"plan\":\"none\","
                             "\"key_digest\":\"%062d%c%c\"}",
                             n > 1 ? "," : "", i, 0, 'a' + i % 6,
                             i / 6 == 0 ? key : '0' + i / 6);
  snprintf (out + n, size - n, "]");
}

static const char none_text[]
    = "[{\"plan\":\"none\",\"guarantee\":[],\"calls_per_second\":10,"
      "\"concurrent_calls\":5,\"queued_jobs\":9}]";

static void
test_change_writes_only_changed_rows (void)
{
  char text[4096];
  struct cf_store store;
  struct cf_account account;
  struct tb_txn txn;

  setup (&store);
  format_plans (0xffff, 'd', text, sizeof text);
  CU_ASSERT_EQUAL (change (&store, CF_ALLOWANCES, 0, none_text), CF_OK);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 0, text), CF_OK);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  CU_ASSERT_EQUAL (scanned, 3 + 1 + 16 * 2);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_UNCHANGED);
  CU_ASSERT_EQUAL (scanned, 3);
  tb_txn_init (&txn);
  format_plans (0xfffd, 'd', text, sizeof text);
  CU_ASSERT_EQUAL (propose (&store, CF_PLANS, 1, text, &txn), CF_OK);
  CU_ASSERT_EQUAL (scanned, 3); /* the heads; rows come from the store */
  CU_ASSERT_EQUAL (json_array_size (txn.ops), 3 + 2);
  CU_ASSERT_TRUE (commit (&txn));
  tb_txn_fini (&txn);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  CU_ASSERT_EQUAL (scanned, 3 + 2);
  CU_ASSERT_EQUAL (cf_find_account (&store, "a01", &account), CF_EINVAL);
  CU_ASSERT_EQUAL (cf_find_account (&store, "a02", &account), CF_OK);
  cf_fini (&store);
}

/* A list keeps its order through the table, and rows of entries that do not
   move are not written again.  */
static void
test_order_is_kept (void)
{
  static const char *const orders[]
      = { "abcd", "dabc", "dabxc", "ayxcd", "dcxya", "a", "qwertyuiopa" };
  struct cf_store store;

  setup (&store);
  CU_ASSERT_EQUAL (change (&store, CF_ALLOWANCES, 0, none_text), CF_OK);
  for (int i = 0; i < (int)(sizeof orders / sizeof *orders); i++)
    {
      json_t *list = json_array (), *held;
      char *text;

      for (const char *c = orders[i]; *c; c++)
        {
          char name[2] = { *c, '\0' }, digest[BS_DIGEST_SIZE];

          bs_digest (digest, name);
          json_array_append_new (list, json_pack ("{s:s,s:s,s:s}", "account",
                                                  name, "plan", "none",
                                                  "key_digest", digest));
        }
      text = json_dumps (list, 0);
      CU_ASSERT_EQUAL (change (&store, CF_PLANS, i, text), CF_OK);
      CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
      if (i == 2) /* inserted entry: heads, plan row, split row */
        CU_ASSERT_EQUAL (scanned, 3 + 2);
      held = cf_list (&store, CF_PLANS);
      CU_ASSERT_TRUE (json_equal (json_object_get (held, "list"), list));
      json_decref (held);
      json_decref (list);
      free (text);
    }
  cf_fini (&store);
}

/* The lists change after the heads were read, or between two pages of rows.
   Such an inconsistent read must not be applied.  */
static void
test_inconsistent_read_is_not_applied (void)
{
  char text[4096];

  for (int steps = 1; steps < 4; steps++)
    {
      struct cf_store store, other;
      struct tb_scan next;
      enum cf_read_state end = CF_READ_MORE;

      setup (&store);
      cf_init (&other);
      format_plans (0xff, 'd', text, sizeof text);
      CU_ASSERT_EQUAL (change (&store, CF_ALLOWANCES, 0, none_text), CF_OK);
      CU_ASSERT_EQUAL (change (&store, CF_PLANS, 0, text), CF_OK);
      cf_read_begin (&poller, &next);
      for (int i = 0; i < steps; i++)
        end = step (&poller, &store, &next);
      CU_ASSERT_EQUAL_FATAL (end, CF_READ_MORE);
      format_plans (0xfe, 'e', text, sizeof text);
      CU_ASSERT_EQUAL (change (&other, CF_PLANS, 1, text), CF_OK);
      while (end == CF_READ_MORE)
        end = step (&poller, &store, &next);
      CU_ASSERT_EQUAL (end, CF_READ_FAILED);
      CU_ASSERT_EQUAL (cf_version (&store, CF_PLANS), 0);
      CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
      CU_ASSERT_EQUAL (cf_version (&store, CF_PLANS), 2);
      cf_fini (&other);
      cf_fini (&store);
    }
}

/* A table is restored to an older state and then changed further, so that
   known revisions refer to other rows.  The reader must scan all rows.  */
static void
test_table_changed_after_restore (void)
{
  char text[4096];
  struct cf_store store, other;
  struct cf_account account;
  json_t *snapshot;
  int64_t old_rev;

  setup (&store);
  format_plans (0xff, 'd', text, sizeof text);
  CU_ASSERT_EQUAL (change (&store, CF_ALLOWANCES, 0, none_text), CF_OK);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 0, text), CF_OK);
  snapshot = json_deep_copy (rows);
  old_rev = rev;
  format_plans (0xfe, 'd', text, sizeof text);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 1, text), CF_OK);
  rev += 10; /* writes to other tables */
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  json_decref (rows);
  rows = snapshot;
  rev = old_rev;
  cf_init (&other);
  for (int version = 1; version < 4; version++)
    {
      format_plans (0x7f, (char)('c' + version), text, sizeof text);
      CU_ASSERT_EQUAL (change (&other, CF_PLANS, version, text), CF_OK);
    }
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  CU_ASSERT_EQUAL (cf_version (&store, CF_PLANS), 4);
  CU_ASSERT_EQUAL (cf_find_account (&store, "a00", &account), CF_OK);
  CU_ASSERT_EQUAL (cf_find_account (&store, "a07", &account), CF_EINVAL);
  cf_fini (&other);
  cf_fini (&store);
}

/* Heads that contain the lists, as an older release wrote them.  */
static void
test_lists_of_older_release (void)
{
  struct cf_store store;
  struct cf_account account;
  json_t *o;

  setup (&store);
  rev++;
  o = json_pack ("{s:i,s:o}", "version", 7, "list", parse (plans_text));
  put (CF_TABLE, CF_PLANS, o);
  json_decref (o);
  o = json_pack ("{s:i,s:o}", "version", 5, "list", parse (allowances_text));
  put (CF_TABLE, CF_ALLOWANCES, o);
  json_decref (o);
  o = parse ("{\"version\":9,\"split\":{}}");
  put (CF_TABLE, CF_SPLIT, o);
  json_decref (o);
  o = parse ("{}");
  put (CF_ROWS_TABLE, "plans/left-over", o);
  json_decref (o);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  CU_ASSERT_EQUAL (cf_version (&store, CF_PLANS), 7);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_UNCHANGED);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 7, "[]"), CF_OK);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  CU_ASSERT_EQUAL (cf_version (&store, CF_PLANS), 8);
  CU_ASSERT_EQUAL (cf_version (&store, CF_ALLOWANCES), 5);
  CU_ASSERT_EQUAL (change (&store, CF_PLANS, 8, plans_text), CF_OK);
  CU_ASSERT_EQUAL (poll_lists (&store), CF_READ_APPLIED);
  CU_ASSERT_EQUAL (cf_find_account (&store, "desk", &account), CF_OK);
  CU_ASSERT_EQUAL (account.queued_jobs, 9);
  cf_fini (&store);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "change without an answer", test_change_without_an_answer },
    { "in force", test_accepted_lists_are_in_force },
    { "race", test_racing_operators_conflict },
    { "whole", test_whole_list_is_checked },
    { "restored", test_restored_table_never_reverts },
    { "own size", test_change_writes_only_changed_rows },
    { "order", test_order_is_kept },
    { "torn", test_inconsistent_read_is_not_applied },
    { "went on", test_table_changed_after_restore },
    { "older release", test_lists_of_older_release },
    CU_TEST_INFO_NULL,
  };
  int code;

  bs_init ();
  code = run_suite ("config", tests);
  cf_reader_fini (&poller);
  json_decref (rows);
  return code;
}
