/* Orders of a VM that was suspended.  */
#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "control/cell_impl.h"
#include "sched/sched.h"
#include "skr/base.h"
#include "suite.h"

enum
{
  LEASE_MS = 100000,
  WAIT_MS = 1000
};

static time_t suspended_s; /* time that only the boot clock counts */

/* In place of the C library's.  */
int
clock_gettime (clockid_t clock, struct timespec *ts)
{
  int error = (int)syscall (SYS_clock_gettime, clock, ts);

  if (!error && clock == CLOCK_BOOTTIME)
    ts->tv_sec += suspended_s;
  return error;
}

/* Emits an order of CELL, and returns the requests that were sent so far.  */
static int64_t
emit_order (struct sched *s, struct cl_cell *cell)
{
  json_t *body = json_object ();
  struct cl_effect e = { .kind = CL_ORDER, .cell = cell };
  struct hc_counts counts;
  void *item = NULL;

  e.u.order.ticket.request = CL_PART;
  e.u.order.address = "127.0.0.1:1";
  e.u.order.path = "/v1/tasks/run";
  e.u.order.body = body;
  e.u.order.timeout_ms = WAIT_MS;
  sc_emit (s, &e);
  json_decref (body);
  CU_ASSERT_EQUAL_FATAL (rg_pop (&s->ring, &item, 10 * WAIT_MS), BS_OK);
  sc_free_event (item);
  hc_count (s->hc, &counts);
  return counts.requests;
}

/* Guards against orders under a lease that ran out while the VM was suspended,
   when another VM may hold the cell.  */
static void
test_lease_ends_during_suspension (void)
{
  static const struct sc_settings set = { .vm = "vm1",
                                          .domain = "d",
                                          .platform = "http://127.0.0.1:1",
                                          .listen = "none",
                                          .operator_digest = "",
                                          .peer = "",
                                          .peers = "",
                                          .peer_keys = "",
                                          .cell_lease_ms = LEASE_MS };
  static struct sched s;
  static struct cl_cell cell;

  /* Fails after the clock is set, as it has no address to listen at.  */
  CU_ASSERT_NOT_EQUAL_FATAL (sc_start (&s, &set), CT_OK);
  cell.lease.state = CE_HOLDING;
  cell.lease.valid_until_ms = bs_now_ms (&s.clock) + LEASE_MS;
  CU_ASSERT_EQUAL (emit_order (&s, &cell), 1);
  suspended_s = 2 * LEASE_MS / 1000;
  CU_ASSERT_EQUAL (emit_order (&s, &cell), 1);
  sc_io_stop (&s);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "lease", test_lease_ends_during_suspension },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("suspension", tests);
}
