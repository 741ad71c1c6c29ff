#include <stdlib.h>
#include <string.h>

#include "skr/base.h"
#include "skr/trace.h"
#include "suite.h"

static FILE *
open_text (const char *text)
{
  FILE *file = tmpfile ();

  fputs (text, file);
  rewind (file);
  return file;
}

static void
test_events_round_trip (void)
{
  static const char text[]
      = "{\"at\":0,\"ev\":\"worker\",\"id\":\"w\",\"rack\":1,\"domain\":\"d\","
        "\"accelerators\":8,\"slots\":4}\n"
        "{\"at\":1,\"ev\":\"plan\",\"account\":\"a\",\"version\":3,"
        "\"guarantee\":[{\"size\":4,\"count\":2}]}\n"
        "{\"at\":1,\"ev\":\"submit\",\"job\":7,\"account\":\"a\","
        "\"class\":\"bulk\",\"tasks\":2,\"per_task\":1,\"declared_ms\":5,"
        "\"actual_ms\":6,\"repeatable\":false,\"preemptible\":true,"
        "\"fails\":true}\n"
        "{\"at\":2,\"ev\":\"cancel\",\"job\":7}\n"
        "{\"at\":2,\"ev\":\"worker_leaving\",\"id\":\"w\"}\n"
        "{\"at\":9,\"ev\":\"end\"}\n";
  FILE *in = open_text (text), *out = tmpfile ();
  char copy[sizeof text + 1] = { 0 };
  struct tr_tables tables;
  struct tr_reader reader;
  struct tr_event event;

  CU_ASSERT_EQUAL (tr_tables_init (&tables), TR_OK);
  tr_reader_init (&reader, in, &tables);
  while (tr_read (&reader, &event) == 1)
    tr_write_event (out, &tables, &event);
  CU_ASSERT_EQUAL (reader.number, 6);
  rewind (out);
  CU_ASSERT_EQUAL (fread (copy, 1, sizeof copy, out), sizeof text - 1);
  CU_ASSERT_STRING_EQUAL (copy, text);
  tr_reader_fini (&reader);
  tr_tables_fini (&tables);
  fclose (in);
  fclose (out);
}

static void
test_defaults_follow_the_class (void)
{
  FILE *in
      = open_text ("{\"at\":0,\"ev\":\"submit\",\"job\":\"j\",\"account\":"
                   "\"a\",\"class\":\"urgent\",\"tasks\":1,\"per_task\":0,"
                   "\"declared_ms\":1,\"actual_ms\":1,\"more\":[]}\n");
  struct tr_tables tables;
  struct tr_reader reader;
  struct tr_event event;

  tr_tables_init (&tables);
  tr_reader_init (&reader, in, &tables);
  CU_ASSERT_EQUAL (tr_read (&reader, &event), 1);
  CU_ASSERT (event.u.submit.spec.repeatable);
  CU_ASSERT_FALSE (event.u.submit.spec.preemptible);
  CU_ASSERT_FALSE (event.u.submit.fails);
  CU_ASSERT_EQUAL (tr_read (&reader, &event), 0);
  tr_reader_fini (&reader);
  tr_tables_fini (&tables);
  fclose (in);
}

static json_t *
summary_of (struct tr_measures *m)
{
  FILE *out = tmpfile ();
  json_error_t error;
  json_t *object;

  tr_write_summary (out, m, 100);
  rewind (out);
  object = json_loadf (out, 0, &error);
  fclose (out);
  return object;
}

static void
test_fragmentation_counts_usable_free_accelerators (void)
{
  struct tr_worker_state use = { 8, 0, 1, 0, 0 };
  struct tr_measures m;
  json_t *summary;

  tr_measures_init (&m);
  tr_measures_worker (&m, 0, &use);
  tr_measures_hold (&m, 0, 4);
  tr_measures_queue (&m, 8, 1); /* larger than the free total */
  tr_measures_advance (&m, 50);
  tr_measures_queue (&m, 3, 1);
  tr_measures_advance (&m, 75);
  tr_measures_queue (&m, 3, -1);
  tr_measures_advance (&m, 100);
  summary = summary_of (&m);
  CU_ASSERT_EQUAL (
      json_real_value (json_object_get (summary, "fragmentation")), 0.125);
  CU_ASSERT_EQUAL (json_real_value (json_object_get (summary, "utilization")),
                   0.5);
  json_decref (summary);
  tr_measures_fini (&m);
}

static void
test_percentiles_are_samples (void)
{
  struct tr_measures m;
  json_t *summary, *urgent;

  tr_measures_init (&m);
  for (int64_t i = 1; i <= 100; i++)
    tr_measures_done (&m, DC_URGENT, 10 * (101 - i), 10);
  summary = summary_of (&m);
  urgent
      = json_object_get (json_object_get (summary, "completion_ms"), "urgent");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (urgent, "p50")), 500);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (urgent, "p99")), 990);
  urgent = json_object_get (json_object_get (summary, "slowdown"), "urgent");
  CU_ASSERT_EQUAL (json_real_value (json_object_get (urgent, "p99")), 99);
  json_decref (summary);
  tr_measures_fini (&m);
}

static void
test_within_counts_live_jobs (void)
{
  struct tr_plan plan = { 0, 1, 2, { { 8, 1 }, { 2, 1 } } };
  struct dc_job_spec spec = { 0, DC_URGENT, 4, 1, 0, 1, 0 };
  struct tr_measures m;

  tr_measures_init (&m);
  tr_measures_plan (&m, &plan);
  CU_ASSERT (tr_measures_fits_guarantee (&m, &spec));
  tr_measures_count_job (&m, 0, TR_RUNNING, 3, 1);
  CU_ASSERT (tr_measures_fits_guarantee (&m, &spec));
  tr_measures_count_job (&m, 0, TR_QUEUED_BULK, 4, 1);
  CU_ASSERT (tr_measures_fits_guarantee (&m, &spec));
  tr_measures_count_job (&m, 0, TR_QUEUED_URGENT, 4, 1);
  CU_ASSERT_FALSE (tr_measures_fits_guarantee (&m, &spec));
  spec.tasks = 2;
  CU_ASSERT (tr_measures_fits_guarantee (&m, &spec));
  spec.class = DC_BULK;
  CU_ASSERT_FALSE (tr_measures_fits_guarantee (&m, &spec));
  tr_measures_fini (&m);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "test_events_round_trip", test_events_round_trip },
    { "test_defaults_follow_the_class", test_defaults_follow_the_class },
    { "test_waste_counts_free_room_a_gang_waits_beside",
      test_fragmentation_counts_usable_free_accelerators },
    { "test_percentiles_are_samples", test_percentiles_are_samples },
    { "test_within_counts_live_jobs", test_within_counts_live_jobs },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("trace", tests);
}
