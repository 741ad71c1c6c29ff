/* Guards against crowds at skr-entry: connections that only wait, TLS
   handshakes that stop half-way, large bodies that never end, and a planned
   stop that never ends because of them.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_crowd.h"
#include "skr/base.h"
#include "suite.h"

enum
{
  CONNECTIONS = 128,
  EXTRA = 40,
  BODIES = 100,
  BODY_BYTES = 1000000,
  /* The share of the VM's 260 MiB that 128 of the default 1,024 connections
     have.  */
  MEMORY_KIB = 260 * CR_KIB / 8
};

static struct cr_process entry;
static struct cr_crowd crowd;
static char address[CR_ADDRESS_SIZE];
static char text[BODY_BYTES + 200];

static void
start (void)
{
  char listen[64], connections[64];
  const char *argv[] = { "skr-entry",        listen,
                         connections,        "--max-body=1048576",
                         "--drain-ms=0",     "--platform=http://127.0.0.1:9",
                         "--finish-ms=1000", NULL };

  cr_free_address (address);
  snprintf (listen, sizeof listen, "--listen=%s", address);
  snprintf (connections, sizeof connections, "--connections=%d", CONNECTIONS);
  cr_start (&entry, argv);
  cr_await (&entry, address, "/healthz");
}

static void
check_ordinary_request (void)
{
  CU_ASSERT_EQUAL (
      cr_request (address, "GET", "/healthz", "Host: x\r\n", NULL), 200);
  CU_ASSERT (cr_is_alive (&entry));
}

static void
test_connections (void)
{
  start ();
  cr_crowd_come (&crowd, address, CONNECTIONS + EXTRA, "GET /v1/0", 9, '0');
  check_ordinary_request ();
  cr_crowd_leave (&crowd);
  check_ordinary_request ();
  CU_ASSERT (cr_stop (&entry));
}

static size_t
unfinished_body (void)
{
  int head = sprintf (text,
                      "POST /v1/calls HTTP/1.1\r\nHost: x\r\n"
                      "Content-Length: %d\r\n\r\n",
                      BODY_BYTES);

  memset (text + head, ' ', BODY_BYTES - 1);
  return (size_t)head + BODY_BYTES - 1;
}

static void
test_bodies (void)
{
  start ();
  cr_crowd_come (&crowd, address, BODIES, text, unfinished_body (), '\0');
  check_ordinary_request ();
  printf ("  %ld KiB\n", cr_peak_kib (&entry) + cr_unread_kib (address));
  CU_ASSERT (cr_peak_kib (&entry) + cr_unread_kib (address) <= MEMORY_KIB);
  cr_crowd_leave (&crowd);
  check_ordinary_request ();
  CU_ASSERT (cr_stop (&entry));
}

static void
test_stop_while_the_crowd_stays (void)
{
  start ();
  cr_crowd_come (&crowd, address, BODIES, text, unfinished_body () - 1000,
                 ' ');
  CU_ASSERT (cr_stop (&entry));
  cr_crowd_leave (&crowd);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "connections", test_connections },
    { "bodies", test_bodies },
    { "stop", test_stop_while_the_crowd_stays },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("crowd at skr-entry", tests);
}
