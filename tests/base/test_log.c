/* The limit of log lines: a flood of one event must not hide the others.  */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "skr/log.h"
#include "suite.h"

enum
{
  RATE = 20,
  FLOOD = 1000
};

static char path[64];
static char text[1 << 20];
static int saved_stdout;

/* Sends the lines to a file.  */
static void
begin (void)
{
  int fd;

  snprintf (path, sizeof path, "/tmp/skr-test-log-XXXXXX");
  fd = mkstemp (path);
  fflush (stdout);
  saved_stdout = dup (STDOUT_FILENO);
  dup2 (fd, STDOUT_FILENO);
  close (fd);
  lg_to_stdout ();
  lg_tune (LG_INFO, RATE);
}

static void
end (void)
{
  int fd = open (path, O_RDONLY);
  ssize_t n = read (fd, text, sizeof text - 1);

  text[n > 0 ? n : 0] = '\0';
  close (fd);
  unlink (path);
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  lg_tune (LG_INFO, 0);
}

static int
count (const char *name)
{
  int n = 0;

  for (const char *at = text; (at = strstr (at, name)); at++)
    n++;
  return n;
}

static void
test_flood_hides_nothing_else (void)
{
  begin ();
  for (int i = 0; i < FLOOD; i++)
    lg_log (LG_RUN_STARTED, 0, NULL);
  lg_log (LG_STEP_JOB_STATE, 0, NULL);
  lg_log (LG_LEASE_LOST, 0, NULL);
  lg_log (LG_REQUEST_GIVEN_UP, 0, NULL);
  end ();
  /* A second may end meanwhile, and the next one allows as many.  */
  CU_ASSERT (count ("\"task-started\"") >= RATE);
  CU_ASSERT (count ("\"task-started\"") <= 2 * RATE);
  CU_ASSERT_EQUAL (count ("\"job-state\""), 1);
  CU_ASSERT_EQUAL (count ("\"lease-lost\""), 1);
  CU_ASSERT_EQUAL (count ("\"request-given-up\""), 1);
}

static void
test_changes_of_state_are_kept (void)
{
  begin ();
  for (int i = 0; i < 5 * RATE; i++)
    lg_log (LG_WORKER_BELIEF, 0, NULL);
  end ();
  CU_ASSERT_EQUAL (count ("\"worker-belief\""), 5 * RATE);
}

/* Guards against text from outside that is missing from its line.  */
static void
test_text_from_outside_is_in_its_line (void)
{
  const struct lg_field odd[] = { lg_str ("key", "\xc3\xa4 \xff") };
  const struct lg_field valid[] = { lg_str ("key", "a\n\xc3\xa4") };

  begin ();
  lg_log (LG_ROW_UNREADABLE, 1, odd);
  lg_log (LG_ROW_UNREADABLE, 1, valid);
  end ();
  CU_ASSERT_EQUAL (count ("\"key\":\"\\\\303\\\\244 \\\\377\""), 1);
  CU_ASSERT_EQUAL (count ("\"key\":\"a\\n\xc3\xa4\""), 1);
  CU_ASSERT_EQUAL (count ("\n"), 2);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "flood", test_flood_hides_nothing_else },
    { "changes of state", test_changes_of_state_are_kept },
    { "text from outside", test_text_from_outside_is_in_its_line },
    CU_TEST_INFO_NULL,
  };

  lg_init ("test", "json", LG_INFO);
  return run_suite ("log", tests);
}
