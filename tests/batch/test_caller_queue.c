/* Tests the order of callers' requests, and the time that the loop has for
   them.  */
#include "batch/caller_queue.h"
#include "suite.h"

enum
{
  COUNT = 100,
  LARGE = 200000, /* bytes */
  SMALL = 200,
  TURN_MS = 40, /* a tenth of the interval between renewals of the lease */
  COST_MS = 10  /* of a large request on a quarter of a core */
};

struct hs_exchange
{
  struct hs_request request;
};

static struct cq_queue queue;
static struct hs_exchange large[COUNT], small[COUNT];

const struct hs_request *
hs_get_request (const struct hs_exchange *ex)
{
  return &ex->request;
}

static void
setup (void)
{
  cq_init (&queue);
  for (int i = 0; i < COUNT; i++)
    {
      large[i].request.body_size = LARGE;
      small[i].request.body_size = SMALL;
      cq_push (&queue, &large[i]);
    }
}

/* Guards against a lease that runs out while the loop handles a crowd's
   requests.  */
static void
test_turn_ends (void)
{
  int64_t now_ms = 1000;
  int taken = 0;

  setup ();
  cq_begin_turn (&queue, now_ms);
  while (cq_take (&queue, now_ms))
    {
      taken++;
      now_ms += COST_MS;
    }
  CU_ASSERT (taken >= 1);
  CU_ASSERT (now_ms - 1000 <= TURN_MS);
  CU_ASSERT_EQUAL (cq_count (&queue), COUNT - taken);
  cq_begin_turn (&queue, now_ms);
  CU_ASSERT_PTR_EQUAL (cq_take (&queue, now_ms), &large[taken]);
}

/* Guards against an ordinary request that waits for those of a crowd.  */
static void
test_small_goes_first (void)
{
  setup ();
  cq_push (&queue, &small[0]);
  cq_begin_turn (&queue, 0);
  CU_ASSERT_PTR_EQUAL (cq_take (&queue, 0), &small[0]);
  CU_ASSERT_PTR_EQUAL (cq_take (&queue, 0), &large[0]);
}

/* Guards against a large request that waits for as long as small ones come. */
static void
test_large_has_its_turn (void)
{
  int before = 0;

  setup ();
  for (int i = 0; i < COUNT; i++)
    cq_push (&queue, &small[i]);
  cq_begin_turn (&queue, 0);
  while (cq_take (&queue, 0) != &large[0])
    before++;
  CU_ASSERT (before < COUNT);
  for (int i = 1; i < 2 * COUNT - before; i++)
    CU_ASSERT_PTR_NOT_NULL (cq_take (&queue, 0));
  CU_ASSERT_PTR_NULL (cq_take (&queue, 0));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "turn", test_turn_ends },
    { "small first", test_small_goes_first },
    { "large in turn", test_large_has_its_turn },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("caller queue", tests);
}
