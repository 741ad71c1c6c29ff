/* Text from outside in lines of the plain format.  */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "skr/log.h"
#include "suite.h"

static char text[4096];

/* Logs VALUE and reads the line back.  */
static void
log_text (const char *value)
{
  struct lg_field f[] = { lg_str ("key", value) };
  int fd[2], saved = dup (STDOUT_FILENO);
  ssize_t n;

  fflush (stdout);
  CU_ASSERT_EQUAL_FATAL (pipe (fd), 0);
  dup2 (fd[1], STDOUT_FILENO);
  lg_log (LG_ROW_UNREADABLE, 1, f);
  n = read (fd[0], text, sizeof text - 1);
  text[n > 0 ? n : 0] = '\0';
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  close (fd[0]);
  close (fd[1]);
}

/* Guards against text from outside that ends its line and begins another.  */
static void
test_text_stays_in_its_line (void)
{
  log_text ("a\n1 skr 526 task-ended b=\"c\"");
  CU_ASSERT_PTR_EQUAL (strchr (text, '\n'), text + strlen (text) - 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, " key=\"a\\n1 skr 526 task-ended b=\\\"c\\\"\"\n"));
}

/* Guards against lines that are not UTF-8, and other text that is altered.  */
static void
test_text_is_utf8 (void)
{
  log_text ("\xc3\xa4 \xff");
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " key=\"\\303\\244 \\377\"\n"));
  log_text ("\xc3\xa4");
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " key=\"\xc3\xa4\"\n"));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "stays in its line", test_text_stays_in_its_line },
    { "UTF-8", test_text_is_utf8 },
    CU_TEST_INFO_NULL,
  };

  lg_init ("test", "plain", LG_INFO);
  lg_to_stdout ();
  return run_suite ("log_plain", tests);
}
