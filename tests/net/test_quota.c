/* Tests whose connection an HTTP server gives up for others.  */
#include "net/quota.h"
#include "suite.h"

enum
{
  MAX_OPEN = 3,
  MAX_HELD = 1000, /* bytes */
  NOW_MS = 50000
};

static struct qt_quota quota;
static struct qt_conn conn[8];

/* Brings C to the state in which its request is handled.  */
static void
send_request (struct qt_conn *c)
{
  qt_head (&quota, c);
  CU_ASSERT (qt_begin (&quota, c));
}

static void
open_all (int count)
{
  qt_init (&quota, MAX_OPEN, MAX_HELD);
  for (int i = 0; i < count; i++)
    CU_ASSERT_PTR_NULL (qt_open (&quota, &conn[i]));
}

/* Guards against places that are used up by connections that only wait.  */
static void
test_longest_silent_gives_way (void)
{
  open_all (MAX_OPEN);
  CU_ASSERT_PTR_EQUAL (qt_open (&quota, &conn[3]), &conn[0]);
  CU_ASSERT_PTR_EQUAL (qt_open (&quota, &conn[4]), &conn[1]);
  CU_ASSERT_EQUAL (quota.open, MAX_OPEN);
  CU_ASSERT_EQUAL (quota.closed, 2);
}

/* Guards against a client that is served, and loses its connection to one that
   has sent nothing.  */
static void
test_most_are_silent (void)
{
  open_all (MAX_OPEN);
  send_request (&conn[0]);
  qt_answered (&quota, &conn[0]);
  CU_ASSERT_PTR_EQUAL (qt_open (&quota, &conn[3]), &conn[1]);
}

/* Guards against a newcomer that is closed before it can send its request, as
   most connections hold an unfinished one.  */
static void
test_longest_waiting_gives_way (void)
{
  open_all (MAX_OPEN);
  for (int i = 0; i < MAX_OPEN; i++)
    qt_head (&quota, &conn[i]);
  CU_ASSERT (qt_begin (&quota, &conn[0]));
  qt_answered (&quota, &conn[0]);
  qt_open (&quota, &conn[3]);
  qt_head (&quota, &conn[3]);
  CU_ASSERT_EQUAL (conn[1].state, QT_CLOSING);
  CU_ASSERT_PTR_EQUAL (qt_open (&quota, &conn[4]), &conn[2]);
}

/* Guards against a request that is cut while it is handled.  */
static void
test_handled_requests_are_kept (void)
{
  open_all (MAX_OPEN);
  for (int i = 0; i < MAX_OPEN; i++)
    send_request (&conn[i]);
  CU_ASSERT_PTR_EQUAL (qt_open (&quota, &conn[3]), &conn[3]);
  qt_answered (&quota, &conn[1]);
  CU_ASSERT_PTR_EQUAL (qt_open (&quota, &conn[4]), &conn[1]);
  CU_ASSERT_EQUAL (quota.open, MAX_OPEN);
}

/* Guards against a request that runs although its connection was closed, so
   that its client can't know.  */
static void
test_given_up_is_not_handled (void)
{
  open_all (MAX_OPEN);
  qt_open (&quota, &conn[3]);
  qt_head (&quota, &conn[0]);
  CU_ASSERT_FALSE (qt_begin (&quota, &conn[0]));
  CU_ASSERT_EQUAL (conn[0].state, QT_CLOSING);
}

static void
test_closed_connections_free_their_place (void)
{
  open_all (MAX_OPEN);
  qt_open (&quota, &conn[3]);
  qt_close (&quota, &conn[0]);
  CU_ASSERT_EQUAL (quota.open, MAX_OPEN);
  send_request (&conn[1]);
  qt_close (&quota, &conn[1]);
  qt_close (&quota, &conn[2]);
  qt_close (&quota, &conn[3]);
  CU_ASSERT_EQUAL (quota.open, 0);
  CU_ASSERT (g_queue_is_empty (&quota.silent));
  CU_ASSERT (g_queue_is_empty (&quota.waiting));
}

/* Opens COUNT connections that hold an unfinished body of SIZE bytes since
   NOW_MS.  */
static void
hold_all (int count, size_t size)
{
  qt_init (&quota, 8, MAX_HELD);
  for (int i = 0; i < count; i++)
    {
      qt_open (&quota, &conn[i]);
      qt_head (&quota, &conn[i]);
      CU_ASSERT_PTR_NULL (qt_hold (&quota, &conn[i], size, NOW_MS));
    }
}

/* Guards against memory that grows with the number of large bodies, and a
   newcomer that is refused for those that are held open.  */
static void
test_oldest_body_gives_way (void)
{
  hold_all (2, 500);
  CU_ASSERT_PTR_EQUAL (qt_hold (&quota, &conn[1], 600, NOW_MS + 9), &conn[1]);
  hold_all (1, 500);
  qt_open (&quota, &conn[1]);
  qt_head (&quota, &conn[1]);
  CU_ASSERT_PTR_EQUAL (qt_hold (&quota, &conn[1], 600, NOW_MS + 9), &conn[0]);
  CU_ASSERT_PTR_NULL (qt_hold (&quota, &conn[1], 600, NOW_MS + 9));
  CU_ASSERT_EQUAL (quota.held, 600);
  CU_ASSERT_EQUAL (quota.dropped, 1);
}

/* Of bodies that arrive at the same time the largest gives way, so that the
   most requests are served.  */
static void
test_largest_body_gives_way (void)
{
  hold_all (2, 400);
  CU_ASSERT_PTR_NULL (qt_hold (&quota, &conn[1], 500, NOW_MS));
  qt_open (&quota, &conn[2]);
  qt_head (&quota, &conn[2]);
  CU_ASSERT_PTR_EQUAL (qt_hold (&quota, &conn[2], 200, NOW_MS), &conn[1]);
}

/* Guards against a body that is dropped while its request is handled, and one
   that still counts after the answer.  */
static void
test_handled_bodies_are_kept (void)
{
  hold_all (2, 500);
  CU_ASSERT (qt_begin (&quota, &conn[0]));
  CU_ASSERT (qt_begin (&quota, &conn[1]));
  qt_open (&quota, &conn[2]);
  qt_head (&quota, &conn[2]);
  CU_ASSERT_PTR_EQUAL (qt_hold (&quota, &conn[2], 100, NOW_MS + 9), &conn[2]);
  qt_answered (&quota, &conn[0]);
  CU_ASSERT_PTR_NULL (qt_hold (&quota, &conn[2], 100, NOW_MS + 9));
  qt_close (&quota, &conn[1]);
  qt_close (&quota, &conn[2]);
  CU_ASSERT_EQUAL (quota.held, 0);
  CU_ASSERT (g_queue_is_empty (&quota.holding));
}

/* A next request on the connection starts anew.  */
static void
test_time_counts_from_the_first_bytes (void)
{
  hold_all (1, 600);
  qt_release (&quota, &conn[0]);
  CU_ASSERT_PTR_NULL (qt_hold (&quota, &conn[0], 600, NOW_MS + 100));
  qt_open (&quota, &conn[1]);
  qt_head (&quota, &conn[1]);
  CU_ASSERT_PTR_NULL (qt_hold (&quota, &conn[1], 300, NOW_MS + 100));
  CU_ASSERT_PTR_EQUAL (qt_hold (&quota, &conn[1], 700, NOW_MS + 101),
                       &conn[1]);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "longest silent", test_longest_silent_gives_way },
    { "most are silent", test_most_are_silent },
    { "longest waiting", test_longest_waiting_gives_way },
    { "handled requests", test_handled_requests_are_kept },
    { "given up", test_given_up_is_not_handled },
    { "closed", test_closed_connections_free_their_place },
    { "oldest body", test_oldest_body_gives_way },
    { "largest body", test_largest_body_gives_way },
    { "handled bodies", test_handled_bodies_are_kept },
    { "time of a body", test_time_counts_from_the_first_bytes },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("quota", tests);
}
