#include <stdlib.h>
#include <string.h>

#include "skr/base.h"
#include "skr/stat.h"
#include "suite.h"

static struct st_registry reg;

static void
test_threads_are_merged (void)
{
  int a, b, s;

  st_init (&reg);
  a = st_attach (&reg);
  b = st_attach (&reg);
  s = st_series (&reg, ST_COUNTER, "calls", "account=\"x\"");
  CU_ASSERT_EQUAL (st_series (&reg, ST_COUNTER, "calls", "account=\"x\""), s);
  st_add (&reg, a, s, 2);
  st_add (&reg, b, s, 3);
  CU_ASSERT_EQUAL (st_value (&reg, s), 5);
  st_fini (&reg);
}

static void
test_quantile_is_within_a_bucket (void)
{
  int a, s;
  int64_t p;

  st_init (&reg);
  a = st_attach (&reg);
  s = st_series (&reg, ST_HISTOGRAM, "took", "");
  CU_ASSERT_EQUAL (st_quantile_us (&reg, s, 0.5), -1);
  for (int i = 1; i <= 1000; i++)
    st_observe_us (&reg, a, s, i * 1000);
  p = st_quantile_us (&reg, s, 0.95);
  CU_ASSERT (p >= 950000 && p <= 950000 * 5 / 4);
  st_fini (&reg);
}

static void
test_text_has_each_family_once (void)
{
  int a, s, t;
  char *text;

  st_init (&reg);
  a = st_attach (&reg);
  s = st_series (&reg, ST_COUNTER, "calls", "end=\"done\"");
  t = st_series (&reg, ST_COUNTER, "calls", "end=\"unknown\"");
  st_add (&reg, a, s, 1);
  st_add (&reg, a, t, 2);
  text = st_text (&reg);
  CU_ASSERT_STRING_EQUAL (text, "# TYPE calls counter\n"
                                "calls{end=\"done\"} 1\n"
                                "calls{end=\"unknown\"} 2\n");
  free (text);
  st_fini (&reg);
}

static void
test_invalid_handles_are_ignored (void)
{
  st_init (&reg);
  st_add (&reg, -1, 0, 1);
  st_add (&reg, 0, -1, 1);
  CU_ASSERT_EQUAL (st_value (&reg, 0), 0);
  st_fini (&reg);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "threads are merged", test_threads_are_merged },
    { "quantile", test_quantile_is_within_a_bucket },
    { "text", test_text_has_each_family_once },
    { "bad handles", test_invalid_handles_are_ignored },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("stat", tests);
}
