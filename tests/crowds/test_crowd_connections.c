/* Guards against connections that only wait: they use up all places, so that
   an ordinary request is never answered.  */
#include <stdio.h>
#include <string.h>

#include "fake_batch.h"
#include "suite.h"

enum
{
  EXTRA = 40, /* connections beyond the limit of the listener */
  READY_CONNECTIONS = 64,
  METRICS_CONNECTIONS = 16,
  RELAY_CONNECTIONS = 256,
  /* Connections of all listeners, of the client, and files.  */
  MAX_DESCRIPTORS = FB_CONNECTIONS + READY_CONNECTIONS + METRICS_CONNECTIONS
                    + RELAY_CONNECTIONS + 100,
  HEAD_BYTES = 27 * CR_KIB
};

static const char start_of_request[] = "GET /desk/0";

static struct fb_batch batch;
static struct cr_crowd crowd;

static void
check_all_listeners (void)
{
  CU_ASSERT_EQUAL (fb_submit (&batch), 200);
  CU_ASSERT_EQUAL (fb_ask_state (&batch), 200);
  CU_ASSERT_EQUAL (
      cr_request (batch.ready, "GET", sf_ready_path (), "Host: x\r\n", NULL),
      200);
  CU_ASSERT_EQUAL (
      cr_request (batch.metrics, "GET", "/metrics", "Host: x\r\n", NULL), 200);
  CU_ASSERT_EQUAL (
      cr_request (batch.relay, "GET", "/desk/0", "Host: x\r\n", NULL), 403);
  CU_ASSERT (cr_is_alive (&batch.process));
  CU_ASSERT (cr_descriptors (&batch.process) <= MAX_DESCRIPTORS);
}

static void
play (const char *address, int connections, const char *text, size_t size)
{
  cr_crowd_come (&crowd, address, connections + EXTRA, text, size, '0');
  check_all_listeners ();
  cr_crowd_leave (&crowd);
  check_all_listeners ();
}

static void
test_callers (void)
{
  fb_init (&batch);
  play (batch.callers, FB_CONNECTIONS, start_of_request,
        sizeof start_of_request - 1);
  CU_ASSERT (fb_fini (&batch));
}

static void
test_long_heads (void)
{
  static char head[HEAD_BYTES];
  int used = sprintf (head, "GET /desk/0 HTTP/1.1\r\nX: ");

  memset (head + used, 'x', sizeof head - (size_t)used);
  fb_init (&batch);
  play (batch.callers, FB_CONNECTIONS, head, sizeof head);
  CU_ASSERT (cr_peak_kib (&batch.process) <= FB_MEMORY_KIB);
  CU_ASSERT (fb_fini (&batch));
}

static void
test_readiness (void)
{
  fb_init (&batch);
  play (batch.ready, READY_CONNECTIONS, start_of_request,
        sizeof start_of_request - 1);
  CU_ASSERT (fb_fini (&batch));
}

static void
test_metrics (void)
{
  fb_init (&batch);
  play (batch.metrics, METRICS_CONNECTIONS, start_of_request,
        sizeof start_of_request - 1);
  CU_ASSERT (fb_fini (&batch));
}

static void
test_relay (void)
{
  fb_init (&batch);
  play (batch.relay, RELAY_CONNECTIONS, start_of_request,
        sizeof start_of_request - 1);
  CU_ASSERT (fb_fini (&batch));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "callers", test_callers },     { "long heads", test_long_heads },
    { "readiness", test_readiness }, { "metrics", test_metrics },
    { "relay", test_relay },         CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("crowd connections", tests);
}
