/* Guards against connections at the address for peers that use up the
   descriptors of skr-sched and skr-entry, so that neither an ordinary request
   nor the store has one.  */
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "fake_crowd.h"
#include "skr/base.h"
#include "suite.h"

enum
{
  DESCRIPTORS = 100, /* of the process; 4,100 on a VM */
  CROWD = 150
};

static struct cr_process process;
static struct cr_crowd crowd;
static char address[CR_ADDRESS_SIZE], peer[CR_ADDRESS_SIZE];

/* Each connection sends the first bytes of ZeroMQ's greeting.  */
static void
play (const char *program, const char *path)
{
  static const struct rlimit limit = { DESCRIPTORS, DESCRIPTORS };
  char listen[64], own[64];
  const char *argv[]
      = { program, listen, own, "--platform=http://127.0.0.1:9", NULL };

  cr_free_address (address);
  cr_free_address (peer);
  snprintf (listen, sizeof listen, "--listen=%s", address);
  snprintf (own, sizeof own, "--peer=%s", peer);
  cr_start (&process, argv);
  cr_await (&process, address, path);
  CU_ASSERT_EQUAL (prlimit (process.pid, RLIMIT_NOFILE, &limit, NULL), 0);
  cr_crowd_come (&crowd, peer, CROWD, "\xff\0\0", 3, '\0');
  CU_ASSERT_EQUAL (cr_request (address, "GET", path, "Host: x\r\n", NULL),
                   200);
  CU_ASSERT (cr_is_alive (&process));
  cr_crowd_leave (&crowd);
  cr_await (&process, address, path);
  CU_ASSERT (cr_stop (&process));
}

static void
test_sched (void)
{
  play ("skr-sched", "/metrics");
}

static void
test_entry (void)
{
  play ("skr-entry", "/healthz");
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "skr-sched", test_sched },
    { "skr-entry", test_entry },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("crowd at the peers' address", tests);
}
