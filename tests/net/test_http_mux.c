/* Wake-ups of the HTTP client's thread.  */
#include <poll.h>
#include <pthread.h>

#include "net/http_mux.h"
#include "suite.h"

enum
{
  ROUNDS = 20,
  WAKES = 200000
};

static struct mx_mux mux;

static void *
wake_often (void *arg)
{
  (void)arg;
  for (int i = 0; i < WAKES; i++)
    mx_wake (&mux);
  return NULL;
}

static int
is_readable (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };

  return poll (&p, 1, 0) == 1;
}

/* A wake-up that comes while the last one is read must not be lost: the
   request that it stands for would wait for the next event.  */
static void
test_no_wake_up_is_lost (void)
{
  int lost = 0;

  CU_ASSERT_EQUAL (mx_init (&mux, 1), BS_OK);
  for (int i = 0; i < ROUNDS; i++)
    {
      pthread_t waker;

      pthread_create (&waker, NULL, wake_often, NULL);
      for (int k = 0; k < WAKES / 20; k++)
        if (is_readable (mux.wake_fd))
          mx_wait (&mux);
      pthread_join (waker, NULL);
      lost += atomic_load (&mux.woken) && !is_readable (mux.wake_fd);
    }
  CU_ASSERT_EQUAL (lost, 0);
  mx_fini (&mux);
}

static void
test_one_wake_up_for_many (void)
{
  mx_init (&mux, 1);
  mx_wake (&mux);
  mx_wake (&mux);
  CU_ASSERT (is_readable (mux.wake_fd));
  mx_wait (&mux);
  CU_ASSERT_FALSE (is_readable (mux.wake_fd));
  mx_wake (&mux);
  CU_ASSERT (is_readable (mux.wake_fd));
  mx_fini (&mux);
}

/* Each host stays with its handle.  */
static void
test_handles (void)
{
  mx_init (&mux, 1);
  CU_ASSERT_PTR_NOT_NULL (mx_multi (&mux, "127.0.0.1:80"));
  CU_ASSERT_PTR_EQUAL (mx_multi (&mux, "127.0.0.1:80"),
                       mx_multi (&mux, "127.0.0.1:80"));
  mx_fini (&mux);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "no wake-up lost", test_no_wake_up_is_lost },
    { "one for many", test_one_wake_up_for_many },
    { "handles", test_handles },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("http mux", tests);
}
