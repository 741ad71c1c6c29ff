/* Guards against ordinary requests that are refused while many clients hold a
   request open whose body never ends.  */
#include <stdio.h>
#include <string.h>

#include "fake_batch.h"
#include "suite.h"

enum
{
  CROWD = 2 * FB_REQUESTS,
  TEXT_SIZE = 300000
};

static struct fb_batch batch;
static struct cr_crowd crowd;
static char text[TEXT_SIZE];

static void
check_ordinary_requests (void)
{
  CU_ASSERT_EQUAL (fb_submit (&batch), 200);
  CU_ASSERT_EQUAL (fb_ask_state (&batch), 200);
  CU_ASSERT (cr_is_alive (&batch.process));
}

/* Each connection of the crowd sends a head with the headers BODY and SENT
   bytes of the body, then a byte now and then.  */
static void
play (const char *body, size_t sent)
{
  int head = fb_head (text, sizeof text, body);

  memset (text + head, ' ', sent);
  fb_init (&batch);
  cr_crowd_come (&crowd, batch.callers, CROWD, text, (size_t)head + sent, ' ');
  check_ordinary_requests ();
  cr_crowd_leave (&crowd);
  check_ordinary_requests ();
  CU_ASSERT (fb_fini (&batch));
}

static void
test_small_bodies (void)
{
  play ("Content-Length: 4000", 100);
}

static void
test_large_bodies (void)
{
  play ("Content-Length: 260000", 250000);
}

static void
test_stop_while_the_crowd_stays (void)
{
  int head = fb_head (text, sizeof text, "Content-Length: 4000");

  fb_init (&batch);
  cr_crowd_come (&crowd, batch.callers, CROWD, text, (size_t)head, ' ');
  CU_ASSERT (fb_fini (&batch));
  cr_crowd_leave (&crowd);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "small bodies", test_small_bodies },
    { "large bodies", test_large_bodies },
    { "stop", test_stop_while_the_crowd_stays },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("crowd requests", tests);
}
