/* Guards against a process that is killed for its memory: many clients send
   large bodies, whole or in chunks, and most stop just short of their end.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_batch.h"
#include "suite.h"

enum
{
  CROWD = 480, /* below the limit of connections */
  CROWDS_IN_A_ROW = 10,
  CHUNK = 64 * CR_KIB,
  CHUNKS = 3,
  SMALL_CHUNKS = 20000, /* of one byte */
  SMALL_CROWD = 100,
  TEXT_SIZE = 512 * CR_KIB
};

static struct fb_batch batch;
static char text[TEXT_SIZE];

static void
check (const struct cr_process *p)
{
  long kib = cr_peak_kib (p) + cr_unread_kib (batch.callers)
             + cr_unread_kib (batch.relay);

  printf ("  %ld KiB resident at most, %ld KiB with unread bytes\n",
          cr_peak_kib (p), kib);
  CU_ASSERT (kib <= FB_MEMORY_KIB);
}

/* Plays a crowd of which each connection sends TEXT.  */
static void
play (const char *address, int count, size_t size)
{
  static struct cr_crowd crowd;

  cr_crowd_come (&crowd, address, count, text, size, '\0');
  CU_ASSERT_NOT_EQUAL (fb_ask_state (&batch), 0);
  CU_ASSERT_NOT_EQUAL (fb_submit (&batch), 0);
  CU_ASSERT (cr_is_alive (&batch.process));
  check (&batch.process);
  cr_crowd_leave (&crowd);
  CU_ASSERT_EQUAL (fb_await_accepted (&batch), 200);
  CU_ASSERT (cr_is_alive (&batch.process));
  check (&batch.process);
}

/* Fills TEXT with a body of which the last byte is missing.  */
static size_t
large_body (void)
{
  char length[64];
  int head;

  snprintf (length, sizeof length, "Content-Length: %d", FB_BODY_BYTES);
  head = fb_head (text, sizeof text, length);
  memset (text + head, ' ', FB_BODY_BYTES - 1);
  return (size_t)head + FB_BODY_BYTES - 1;
}

/* Fills TEXT with COUNT chunks of SIZE bytes and no end.  */
static size_t
chunks (int count, int size)
{
  int used = fb_head (text, sizeof text, "Transfer-Encoding: chunked");

  for (int i = 0; i < count; i++)
    {
      used += sprintf (text + used, "%x\r\n", (unsigned)size);
      memset (text + used, ' ', (size_t)size);
      used += size;
      used += sprintf (text + used, "\r\n");
    }
  return (size_t)used;
}

static void
test_large_bodies (void)
{
  fb_init (&batch);
  play (batch.callers, CROWD, large_body ());
  CU_ASSERT (fb_fini (&batch));
}

/* They end; the crowd stays and reads no answer.  */
static void
test_whole_bodies (void)
{
  size_t size = large_body ();

  text[size] = ' ';
  fb_init (&batch);
  play (batch.callers, CROWD, size + 1);
  CU_ASSERT (fb_fini (&batch));
}

static void
test_large_chunks (void)
{
  fb_init (&batch);
  play (batch.callers, CROWD, chunks (CHUNKS, CHUNK));
  CU_ASSERT (fb_fini (&batch));
}

static void
test_small_chunks (void)
{
  fb_init (&batch);
  play (batch.callers, SMALL_CROWD, chunks (SMALL_CHUNKS, 1));
  CU_ASSERT (fb_fini (&batch));
}

/* A stranger does not know the relay's secret.  */
static void
test_bodies_at_the_relay (void)
{
  fb_init (&batch);
  play (batch.relay, CROWD, large_body ());
  CU_ASSERT (fb_fini (&batch));
}

/* Memory that is freed and not given back would add up.  */
static void
test_crowds_in_a_row (void)
{
  fb_init (&batch);
  for (int i = 0; i < CROWDS_IN_A_ROW; i++)
    play (batch.callers, CROWD, large_body ());
  CU_ASSERT (fb_fini (&batch));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "large bodies", test_large_bodies },
    { "whole bodies", test_whole_bodies },
    { "large chunks", test_large_chunks },
    { "small chunks", test_small_chunks },
    { "bodies at the relay", test_bodies_at_the_relay },
    { "crowds in a row", test_crowds_in_a_row },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("crowd memory", tests);
}
