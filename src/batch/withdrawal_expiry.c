/* The lease holder removes withdrawals that need not be kept any more.  Each
   removal expects the row as it is known, as a caller may have cancelled
   again since.  */
#include "batch/batch.h"

enum
{
  INTERVAL_MS = 5000,
  MAX_ROWS = 40, /* two entries each */
  WRITE_TIMEOUT_MS = 1000
};

void
wx_tick (struct batch *b)
{
  struct wd_row row[MAX_ROWS];
  struct po_entry e[2 * MAX_ROWS];
  struct ba_store_call *call;
  int n;

  if (b->phase != BA_ACTIVE || b->now_ms < b->next_expiry_ms
      || ba_refuses_writes (b))
    return;
  b->next_expiry_ms = b->now_ms + INTERVAL_MS;
  n = wd_expired (&b->view.withdrawals, ba_store_clock_now_ms (b), row,
                  MAX_ROWS);
  if (!n)
    return;
  for (int i = 0; i < n; i++)
    {
      e[i] = (struct po_entry){ .kind = PO_EXPECT,
                                .table = "jobs",
                                .key = row[i].key,
                                .version = row[i].version };
      e[n + i] = (struct po_entry){ .kind = PO_DELETE,
                                    .table = "jobs",
                                    .key = row[i].key };
    }
  call = ba_new_store_call (b, BA_EXPIRE);
  if (po_write (&b->port, e, 2 * n, WRITE_TIMEOUT_MS, ba_on_store_reply, call))
    g_free (call);
}

void
wx_on_reply (struct batch *b, const struct po_rows *rows)
{
  /* More rows may be due.  */
  if (rows->result == PO_DONE)
    b->next_expiry_ms = b->now_ms + INTERVAL_MS / 10;
}
