/* The rules for terms after a crash, see docs/design/short-terms.md.  */
#include <string.h>

#include "batch/caution.h"
#include "suite.h"

#define A "00000000000000a1"
#define B "00000000000000b1"

static struct ca_caution c;

static void
begin (void)
{
  memset (&c, 0, sizeof c);
}

static void
crash (int times, const char *id)
{
  for (int i = 0; i < times; i++)
    ca_note_crash (&c, id);
}

/* Guards against optional parts that go, or jobs that are suspended, after
   fewer ends than the rule has.  */
static void
test_ends_in_a_row (void)
{
  begin ();
  crash (1, A);
  CU_ASSERT_EQUAL (ca_parts (&c), SJ_ALL_PARTS);
  crash (1, A);
  CU_ASSERT_EQUAL (ca_parts (&c), 0);
  CU_ASSERT (!ca_is_suspended (&c, A));
  CU_ASSERT_EQUAL (ca_note_crash (&c, A), 0);
  CU_ASSERT (ca_is_suspended (&c, A));
}

/* Guards against a fleet that goes on crashing, as the job in work is not the
   cause: the set of jobs doubles.  */
static void
test_jobs_that_changed_last (void)
{
  int n, suspended = 0;

  begin ();
  crash (3, A);
  for (int expected = 1; expected <= 32; expected *= 2)
    {
      n = ca_note_crash (&c, A);
      CU_ASSERT_EQUAL (n, expected);
      for (int i = 0; i < n; i++)
        {
          char id[SJ_ID_SIZE];

          snprintf (id, sizeof id, "%016x", ++suspended);
          CU_ASSERT (ca_suspend (&c, id));
        }
    }
  CU_ASSERT_EQUAL (c.count, CA_MAX_SUSPENDED);
  CU_ASSERT_EQUAL (ca_note_crash (&c, B), 0);
  /* The same without a job in work.  */
  begin ();
  crash (2, "");
  CU_ASSERT_EQUAL (ca_note_crash (&c, ""), 1);
}

/* Guards against parts that return all at once, or that stay after the end
   that they caused.  */
static void
test_parts_return_one_by_one (void)
{
  int64_t calm_ms;

  begin ();
  crash (2, A);
  for (int i = 1; i <= 3; i++)
    {
      CU_ASSERT_EQUAL (ca_step (&c), CA_PARTS);
      CU_ASSERT_EQUAL (ca_parts (&c), (1U << i) - 1);
    }
  calm_ms = ca_calm_ms (&c);
  CU_ASSERT_EQUAL (ca_note_crash (&c, A), 0);
  CU_ASSERT_EQUAL (ca_parts (&c), 0);
  CU_ASSERT (!ca_is_suspended (&c, A));
  CU_ASSERT_EQUAL (ca_calm_ms (&c), 2 * calm_ms);
  for (int i = 0; i < SJ_PARTS; i++)
    ca_step (&c);
  CU_ASSERT_EQUAL (ca_parts (&c), SJ_ALL_PARTS);
  CU_ASSERT_PTR_NOT_NULL (ca_write (&c));
  CU_ASSERT_EQUAL (ca_step (&c), CA_NONE);
  CU_ASSERT_PTR_NULL (ca_write (&c));
}

static void
return_parts (void)
{
  while (ca_parts (&c) != SJ_ALL_PARTS)
    CU_ASSERT_EQUAL (ca_step (&c), CA_PARTS);
}

/* Guards against innocent jobs that stay suspended: one of eight is at fault.
 */
static void
test_bisection_finds_the_job (void)
{
  for (int fault = 0; fault < 8; fault++)
    {
      char id[8][SJ_ID_SIZE];
      int ends = 0;

      begin ();
      crash (2, "");
      for (int i = 0; i < 8; i++)
        {
          snprintf (id[i], sizeof id[i], "%016x", i + 1);
          ca_suspend (&c, id[i]);
        }
      for (int steps = 0; c.count > 1 && steps < 100; steps++)
        {
          return_parts ();
          ca_step (&c);
          if (!ca_is_suspended (&c, id[fault]))
            {
              ca_note_crash (&c, "");
              ends++;
            }
        }
      CU_ASSERT (ca_is_suspended (&c, id[fault]));
      CU_ASSERT_EQUAL (c.count, 1);
      CU_ASSERT (ends <= 3);
    }
}

/* Guards against a job that can't be put back.  */
static void
test_put_back (void)
{
  begin ();
  crash (3, A);
  ca_suspend (&c, B);
  CU_ASSERT (ca_resume (&c, A));
  CU_ASSERT (!ca_resume (&c, A));
  CU_ASSERT (!ca_is_suspended (&c, A));
  CU_ASSERT (ca_is_suspended (&c, B));
}

/* Guards against a state that is lost or changed on its way through the row,
   and against rows of other writers.  */
static void
test_row (void)
{
  struct ca_caution read;
  json_t *o;

  begin ();
  crash (4, A);
  ca_suspend (&c, B);
  c.tried = 1;
  c.returned = 2;
  o = ca_write (&c);
  ca_read (&read, o);
  json_decref (o);
  CU_ASSERT (!memcmp (&read, &c, sizeof c));
  ca_read (&read, NULL);
  CU_ASSERT_PTR_NULL (ca_write (&read));
  o = json_pack ("{s:i,s:i,s:[s,i],s:i}", "ends", -3, "returned", 99,
                 "suspended", "short", 7, "tried", 5);
  ca_read (&read, o);
  json_decref (o);
  CU_ASSERT_EQUAL (read.ends, 0);
  CU_ASSERT_EQUAL (read.returned, SJ_PARTS);
  CU_ASSERT_EQUAL (read.count, 0);
  CU_ASSERT_EQUAL (read.tried, 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "ends in a row", test_ends_in_a_row },
    { "jobs that changed last", test_jobs_that_changed_last },
    { "parts return", test_parts_return_one_by_one },
    { "bisection", test_bisection_finds_the_job },
    { "put back", test_put_back },
    { "row", test_row },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("caution", tests);
}
