/* The number of cells per failure domain must never change, neither when
   another scheduler has a different setting nor when the table is
   restored.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skr/config.h"
#include "suite.h"

/* The rows of the configuration table, as a scan returns them.  */
static json_t *rows;

/* Applies TXN, which writes a single row; returns 0 when the row exists.  */
static int
commit (const struct tb_txn *txn)
{
  const json_t *check = json_array_get (txn->checks, 0);
  const json_t *op = json_array_get (txn->ops, 0);

  CU_ASSERT_EQUAL (json_array_size (txn->ops), 1);
  if (json_integer_value (json_object_get (check, "version"))
      != (json_int_t)json_array_size (rows))
    return 0;
  json_array_append_new (
      rows, json_pack ("{s:O, s:i, s:O}", "key", json_object_get (op, "key"),
                       "version", 1, "value", json_object_get (op, "value")));
  return 1;
}

static void
test_cells_per_domain_never_change (void)
{
  struct cf_store store, restarted;
  char cell[CF_NAME_SIZE], again[CF_NAME_SIZE];
  struct tb_txn txn;
  int seen[4] = { 0 };

  json_decref (rows);
  rows = json_array ();
  cf_init (&store);
  CU_ASSERT_EQUAL (cf_cells_per_domain (&store), 0);
  tb_txn_init (&txn);
  CU_ASSERT (cf_init_cells_per_domain (&store, rows, 4, &txn));
  CU_ASSERT_TRUE (commit (&txn));
  tb_txn_fini (&txn);
  tb_txn_init (&txn); /* a second scheduler with another setting */
  CU_ASSERT_FALSE (cf_init_cells_per_domain (&store, rows, 9, &txn));
  tb_txn_fini (&txn);
  CU_ASSERT (cf_load_cells_per_domain (&store, rows));
  CU_ASSERT_FALSE (cf_load_cells_per_domain (&store, rows));
  CU_ASSERT_EQUAL (cf_cells_per_domain (&store), 4);
  json_decref (rows); /* the table is restored to an empty state */
  rows = json_array ();
  CU_ASSERT_FALSE (cf_load_cells_per_domain (&store, rows));
  CU_ASSERT_EQUAL (cf_cells_per_domain (&store), 4);
  tb_txn_init (&txn);
  CU_ASSERT (cf_init_cells_per_domain (&store, rows, 9, &txn));
  CU_ASSERT_TRUE (commit (&txn));
  tb_txn_fini (&txn);
  cf_init (&restarted);
  CU_ASSERT (cf_load_cells_per_domain (&restarted, rows));
  CU_ASSERT_EQUAL (cf_cells_per_domain (&restarted), 4);
  cf_cell_name (cell, "d1", "r1", 1);
  CU_ASSERT_STRING_EQUAL (cell, "d1");
  for (int i = 0; i < 100; i++)
    {
      char rack[16];

      snprintf (rack, sizeof rack, "r%d", i);
      cf_cell_name (cell, "d1", rack, 4);
      cf_cell_name (again, "d1", rack, 4);
      CU_ASSERT_STRING_EQUAL (cell, again);
      CU_ASSERT (!strncmp (cell, "d1.", 3) && cell[3] >= '1' && cell[3] <= '4'
                 && !cell[4]);
      seen[cell[3] - '1']++;
    }
  for (int i = 0; i < 4; i++)
    CU_ASSERT (seen[i] > 0);
  cf_fini (&store);
  cf_fini (&restarted);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "test_parts_of_a_domain_never_change",
      test_cells_per_domain_never_change },
    CU_TEST_INFO_NULL,
  };
  int code;

  code = run_suite ("cells", tests);
  json_decref (rows);
  return code;
}
