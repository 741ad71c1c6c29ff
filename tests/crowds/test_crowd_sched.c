/* Guards against crowds at the counters of skr-sched: connections that only
   wait keep /metrics from being answered, and an unfinished body keeps the
   process from ending.  */
#include <stdio.h>
#include <string.h>

#include "fake_crowd.h"
#include "skr/base.h"
#include "suite.h"

enum
{
  CONNECTIONS = 16, /* limit of the listener */
  EXTRA = 40
};

static const char unfinished[] = "POST /metrics HTTP/1.1\r\nHost: x\r\n"
                                 "Content-Length: 1000\r\n\r\nx";

static struct cr_process sched;
static struct cr_crowd crowd;
static char address[CR_ADDRESS_SIZE];

static void
start (void)
{
  char listen[64], peer[64], own[CR_ADDRESS_SIZE];
  const char *argv[]
      = { "skr-sched", listen, peer, "--platform=http://127.0.0.1:9", NULL };

  cr_free_address (address);
  cr_free_address (own);
  snprintf (listen, sizeof listen, "--listen=%s", address);
  snprintf (peer, sizeof peer, "--peer=%s", own);
  cr_start (&sched, argv);
  cr_await (&sched, address, "/metrics");
}

static void
check_ordinary_request (void)
{
  CU_ASSERT_EQUAL (
      cr_request (address, "GET", "/metrics", "Host: x\r\n", NULL), 200);
  CU_ASSERT (cr_is_alive (&sched));
}

static void
test_connections (void)
{
  start ();
  cr_crowd_come (&crowd, address, CONNECTIONS + EXTRA, "GET /0", 6, '0');
  check_ordinary_request ();
  cr_crowd_leave (&crowd);
  check_ordinary_request ();
  CU_ASSERT (cr_stop (&sched));
}

static void
test_stop_while_the_crowd_stays (void)
{
  start ();
  cr_crowd_come (&crowd, address, CONNECTIONS / 2, unfinished,
                 sizeof unfinished - 1, 'x');
  CU_ASSERT (cr_stop (&sched));
  cr_crowd_leave (&crowd);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "connections", test_connections },
    { "stop", test_stop_while_the_crowd_stays },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("crowd at skr-sched", tests);
}
