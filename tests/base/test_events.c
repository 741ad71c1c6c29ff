/* Checks that the event catalogue in docs/EVENTS.md is identical to the one in
   the code, so that neither is changed alone.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skr/log.h"
#include "suite.h"

enum
{
  LINE_SIZE = 1024 /* bytes */
};

static const char *const level_names[]
    = { "error", "warning", "notice", "info", "debug" };

static void
format_entry (char *out, const struct lg_entry *e)
{
  snprintf (out, LINE_SIZE, "| %d | %s | %s | %s | %s | %s |\n", (int)e->id,
            level_names[e->level], e->name, e->fields, e->meaning, e->action);
}

static const struct lg_entry *
next_row (const struct lg_entry *e, const char *line)
{
  char expected[LINE_SIZE];

  if (!e->name)
    {
      printf ("not in the code: %s", line);
      CU_FAIL ("a row that the code does not have");
      return e;
    }
  format_entry (expected, e);
  if (strcmp (line, expected) != 0)
    {
      printf ("docs: %scode: %s", line, expected);
      CU_FAIL ("a row differs");
    }
  return e + 1;
}

static void
test_catalogue_matches (void)
{
  const struct lg_entry *e = lg_catalogue;
  FILE *f = fopen ("docs/EVENTS.md", "r");
  char line[LINE_SIZE];

  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  while (fgets (line, sizeof line, f))
    if (line[0] == '|' && line[2] >= '0' && line[2] <= '9')
      e = next_row (e, line);
  fclose (f);
  for (; e->name; e++)
    {
      format_entry (line, e);
      printf ("missing: %s", line);
      CU_FAIL ("an event is missing in the docs");
    }
}

static void
test_numbers_increase (void)
{
  for (const struct lg_entry *e = lg_catalogue; e->name && e[1].name; e++)
    CU_ASSERT (e[0].id < e[1].id);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "catalogue", test_catalogue_matches },
    { "numbers", test_numbers_increase },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("events", tests);
}
