#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "skr/queue.h"
#include "suite.h"

static struct qu_config *
make_config_with_nested_prefixes (void)
{
  struct qu_config *c = g_new0 (struct qu_config, 1);
  static const char *const prefixes[] = { "/a/", "/a/b/" };

  c->queue_count = 2;
  c->queue = g_new0 (struct qu_queue, 2);
  for (int i = 0; i < 2; i++)
    {
      c->queue[i].name = g_strdup (prefixes[i]);
      c->queue[i].host = g_strdup ("one.example");
      c->queue[i].prefix = g_strdup (prefixes[i]);
      c->queue[i].service = g_strdup ("s");
    }
  c->account_count = 1;
  c->account = g_new0 (struct qu_account, 1);
  c->account[0].name = g_strdup ("acme");
  c->account[0].key = g_new0 (char *, 2);
  c->account[0].key[0] = g_strdup ("secret-1");
  c->account[0].key[1] = g_strdup ("secret-2");
  c->account[0].key_count = 2;
  return c;
}

static void
test_longest_prefix_is_selected (void)
{
  struct qu_config *c = make_config_with_nested_prefixes ();
  const char *rest;

  CU_ASSERT_STRING_EQUAL (
      qu_find_queue (c, "one.example:80", "/a/b/x", &rest)->name, "/a/b/");
  CU_ASSERT_STRING_EQUAL (rest, "x");
  CU_ASSERT_STRING_EQUAL (
      qu_find_queue (c, "ONE.example", "/a/x", &rest)->name, "/a/");
  CU_ASSERT_PTR_NULL (qu_find_queue (c, "two.example", "/a/x", &rest));
  CU_ASSERT_PTR_NULL (qu_find_queue (c, "one.example", "/b/x", &rest));
  CU_ASSERT_PTR_NULL (qu_find_queue (c, NULL, "/a/x", &rest));
  qu_free (c);
}

static void
test_each_key_selects_its_account (void)
{
  struct qu_config *c = make_config_with_nested_prefixes ();

  CU_ASSERT_PTR_EQUAL (qu_find_account (c, "secret-2"), &c->account[0]);
  CU_ASSERT_PTR_NULL (qu_find_account (c, "secret-3"));
  CU_ASSERT_PTR_NULL (qu_find_account (c, "secret-22"));
  CU_ASSERT_PTR_NULL (qu_find_account (c, NULL));
  qu_free (c);
}

static void
test_retry_after_rounds_up (void)
{
  CU_ASSERT_EQUAL (qu_retry_after_s (0), 1);
  CU_ASSERT_EQUAL (qu_retry_after_s (1000), 1);
  CU_ASSERT_EQUAL (qu_retry_after_s (1001), 2);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "longest prefix", test_longest_prefix_is_selected },
    { "keys", test_each_key_selects_its_account },
    { "retry after", test_retry_after_rounds_up },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("queue", tests);
}
