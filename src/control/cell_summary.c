/* The summary in the cell's row: free accelerators by size of adjacent block,
   and counts.  */
#include "control/cell_impl.h"

enum
{
  BLOCK_SIZES = 7 /* powers of two from 1 to 64 */
};

static void
collect_used (struct cl_cell *c, uint64_t *used)
{
  for (guint i = 0; i < c->gangs->len; i++)
    {
      const struct wk_gang *g = g_ptr_array_index (c->gangs, i);

      for (int t = 0; t < g->tasks; t++)
        used[g->place[t].worker] |= g->place[t].accelerators;
    }
}

/* Adds to BLOCKS the number of free, naturally aligned blocks of each
   size.  */
static void
count_free_blocks (uint64_t used, int accelerators, int64_t *blocks)
{
  for (int size = 1, k = 0; size <= accelerators; size *= 2, k++)
    {
      uint64_t mask = size == 64 ? ~0ULL : (1ULL << size) - 1;

      for (int at = 0; at + size <= accelerators; at += size)
        if (!(used & mask << at))
          blocks[k]++;
    }
}

json_t *
cl_summary (struct cl_cell *c)
{
  uint64_t *used = g_new0 (uint64_t, c->workers->len + 1);
  int64_t blocks[BLOCK_SIZES] = { 0 }, up = 0, running = 0, queued = 0;
  json_t *free_list = json_array ();
  struct hm_capacity capacity;
  GHashTableIter it;
  gpointer job;

  collect_used (c, used);
  for (guint i = 0; i < c->workers->len; i++)
    if (cl_worker (c, i)->state == MB_UP)
      {
        up++;
        count_free_blocks (used[i], cl_worker (c, i)->accelerators, blocks);
      }
  g_free (used);
  g_hash_table_iter_init (&it, c->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    {
      running += ((struct jb_job *)job)->state == JB_RUNNING;
      queued += ((struct jb_job *)job)->state == JB_QUEUED;
    }
  for (int k = 0; k < BLOCK_SIZES; k++)
    json_array_append_new (free_list, json_integer (blocks[k]));
  cl_capacity (c, &capacity);
  return json_pack ("{s:I, s:I, s:I, s:I, s:o, s:o}", "workers",
                    (json_int_t)up, "running", (json_int_t)running, "queued",
                    (json_int_t)queued, "free", (json_int_t)blocks[0],
                    "blocks", free_list, "shapes", hm_print (&capacity));
}
