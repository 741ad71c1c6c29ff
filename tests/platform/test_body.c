/* A worker's listing in which single strings can't be represented.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "platform/names.h"
#include "suite.h"

enum
{
  PLAYS = 20000
};

static json_t *
load_listing (const char *checkpoint)
{
  char *body = g_strdup_printf (
      "{\"clock_ms\":7,\"running\":[[\"0000000000000001.0.0.0\",1,\"%s\",5],"
      "[\"0000000000000001.0.0.1\",1,\"fine\",6]],\"ended\":[]}",
      checkpoint);
  json_t *root = pf_load_body (body, strlen (body));

  g_free (body);
  return root;
}

static json_t *
checkpoint_of (const json_t *root, size_t run)
{
  return json_array_get (
      json_array_get (json_object_get (root, "running"), run), 2);
}

/* Guards against a listing of which nothing is read for the sake of one
   checkpoint, so that the worker's other runs are lost.  */
static void
test_odd_string_spoils_only_itself (void)
{
  static const char *const odd[]
      = { "a\\u0000b", "\\ud800",      "\\ud800\\u0041", "\\udc00",
          "\xff",      "\xed\xa0\x80", "\xc3",           "\\x",
          "\\u12",     "\x01",         "\\ud800\\ud800" };

  for (size_t i = 0; i < sizeof odd / sizeof *odd; i++)
    {
      json_t *root = load_listing (odd[i]);

      CU_ASSERT_PTR_NOT_NULL (root);
      CU_ASSERT (json_is_null (checkpoint_of (root, 0)));
      CU_ASSERT (
          !g_strcmp0 (json_string_value (checkpoint_of (root, 1)), "fine"));
      json_decref (root);
    }
}

/* Guards against a string that is altered or dropped beside an odd one.  */
static void
test_text_beside_odd_string_is_kept (void)
{
  static const char text[] = "\\ud83d\\ude00 \\\" \\\\ \\u00e4 \xe2\x82\xac";
  char *body = g_strdup_printf ("[\"%s\",\"\\u0000\",{\"\\ud800\":1}]", text);
  json_t *root = pf_load_body (body, strlen (body));

  CU_ASSERT (!g_strcmp0 (json_string_value (json_array_get (root, 0)),
                         "\xf0\x9f\x98\x80 \" \\ \xc3\xa4 \xe2\x82\xac"));
  CU_ASSERT (json_is_null (json_array_get (root, 1)));
  CU_ASSERT_EQUAL (
      json_integer_value (json_object_get (json_array_get (root, 2), "")), 1);
  json_decref (root);
  g_free (body);
}

/* Guards against reads beyond a body that is cut or damaged anywhere.  */
static void
test_damaged_bodies (void)
{
  static const char body[]
      = "{\"running\":[[\"t\",1,\"\\ud83d\\ude00\\u0000\\\\\",5]]}";
  GRand *r = g_rand_new_with_seed (1);

  for (int i = 0; i < PLAYS; i++)
    {
      size_t size = (size_t)g_rand_int_range (r, 0, sizeof body);
      char *copy = g_memdup2 (body, size + 1);

      if (size)
        copy[g_rand_int_range (r, 0, (gint32)size)]
            = (char)g_rand_int_range (r, 0, 256);
      json_decref (pf_load_body (copy, size));
      g_free (copy);
    }
  CU_PASS ("");
  g_rand_free (r);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "odd string", test_odd_string_spoils_only_itself },
    { "text beside it", test_text_beside_odd_string_is_kept },
    { "damaged", test_damaged_bodies },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("body", tests);
}
