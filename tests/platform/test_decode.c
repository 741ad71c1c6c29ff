/* Checks the decoding of valid and invalid data from the platform and from
   callers.  */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "skr/port.h"
#include "suite.h"

static struct po_worker *
worker (const char *value, const char **reason)
{
  struct po_row row = { .table = (char *)"servers",
                        .key = (char *)"i-1",
                        .value = (char *)(uintptr_t)value };

  return po_worker_read (&row, reason);
}

static void
test_worker_is_read (void)
{
  const char *reason;
  struct po_worker *w = worker (
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"state\":\"draining\",\"remaining_ms\":1500,\"born\":77,"
      "\"cold_remaining_ms\":900,"
      "\"capacity\":{\"cpu\":128000,\"memory_request_mb\":262144,\"gpu\":8},"
      "\"labels\":[\"a\",\"r1-3\"],\"unknown\":[1]}",
      &reason);

  CU_ASSERT_PTR_NOT_NULL_FATAL (w);
  if (!w)
    return;
  CU_ASSERT_STRING_EQUAL (w->kind, "a");
  CU_ASSERT_STRING_EQUAL (w->rack, "r1-3");
  CU_ASSERT_EQUAL (w->capacity.accelerators, 8);
  CU_ASSERT_EQUAL (w->capacity.memory_mb, 262144);
  CU_ASSERT (w->draining);
  CU_ASSERT_EQUAL (w->remaining_ms, 1500);
  CU_ASSERT_EQUAL (w->incarnation, 77);
  CU_ASSERT_STRING_EQUAL (w->domain, "z");
  CU_ASSERT_EQUAL (w->cold_remaining_ms, 900);
  po_worker_free (w);
}

static void
test_invalid_workers_are_rejected (void)
{
  static const char *const values[] = {
    "",
    "not JSON",
    "[]",
    "7",
    "{}",
    "{\"service\":1,\"address\":\"10.0.0.1:1\",\"state\":\"ready\"}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":\"asleep\","
    "\"capacity\":{\"cpu\":1,\"memory_request_mb\":1}}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":\"ready\","
    "\"capacity\":{\"cpu\":\"1\",\"memory_request_mb\":1}}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":\"ready\","
    "\"capacity\":[]}",
  };

  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    {
      const char *reason = NULL;

      CU_ASSERT_PTR_NULL (worker (values[i], &reason));
      CU_ASSERT_PTR_NOT_NULL (reason);
    }
}

/* Returns the value of a row with the ADDRESS, and CAPACITY as the members of
   the capacity.  */
static char *
worker_value (const char *address, const char *capacity)
{
  return g_strdup_printf ("{\"service\":\"s\",\"address\":\"%s\",\"state\":"
                          "\"ready\",\"capacity\":{%s}}",
                          address, capacity);
}

static void
assert_worker (const char *address, const char *capacity, int is_valid)
{
  const char *reason = NULL;
  char *value = worker_value (address, capacity);
  struct po_worker *w = worker (value, &reason);

  CU_ASSERT_EQUAL (w != NULL, is_valid);
  CU_ASSERT_EQUAL (reason == NULL, is_valid);
  if ((w != NULL) != is_valid)
    printf ("%.60s %.60s ", address, capacity);
  po_worker_free (w);
  g_free (value);
}

/* Guards against a row of another writer that is taken for a worker and
   counted in sums over all workers, or polled at an impossible address.  */
static void
test_impossible_workers_are_rejected (void)
{
  static const char *const addresses[] = { "",
                                           ":",
                                           "10.0.0.1",
                                           "10.0.0.1:",
                                           "10.0.0.1:0",
                                           "10.0.0.1:-1",
                                           "10.0.0.1:65536",
                                           "10.0.0.1:70000",
                                           "10.0.0.1:99999999999999999999",
                                           "10.0.0.1:80x",
                                           "10.0.0.1:+80",
                                           "%s%n:80",
                                           "host:80",
                                           "10.0.0.1.2:80",
                                           "10.0.0.1/:80" };
  static const char *const capacities[]
      = { "\"cpu\":-1,\"memory_request_mb\":1",
          "\"cpu\":9223372036854775807,\"memory_request_mb\":1",
          "\"cpu\":1,\"memory_request_mb\":9223372036854775807",
          "\"cpu\":1,\"memory_request_mb\":1,\"gpu\":1000000000",
          "\"cpu\":1,\"memory_request_mb\":1,\"gpu\":-8",
          "\"cpu\":1,\"memory_request_mb\":1,\"gpu\":1e300",
          "\"cpu\":1,\"memory_request_mb\":1,\"gpu\":\"8\"",
          "\"cpu\":1e999,\"memory_request_mb\":1",
          "\"cpu\":1,\"memory_request_mb\":99999999999999999999999999" };
  char *long_address = g_strnfill (30000, '1');

  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    assert_worker (addresses[i], "\"cpu\":1,\"memory_request_mb\":1", 0);
  for (size_t i = 0; i < G_N_ELEMENTS (capacities); i++)
    assert_worker ("10.0.0.1:80", capacities[i], 0);
  assert_worker (long_address, "\"cpu\":1,\"memory_request_mb\":1", 0);
  assert_worker ("10.0.0.1:65535", "\"cpu\":1,\"memory_request_mb\":1", 1);
  g_free (long_address);
}

/* Guards against a stack overflow or the conversion of a number that its type
   cannot hold.  */
static void
test_extreme_values_are_read (void)
{
  static const int depths[] = { 100, 1900, 200000 };
  const char *reason = NULL;
  struct po_worker *w;

  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      GString *s = g_string_new ("{\"service\":\"s\",\"state\":");

      for (int k = 0; k < depths[i]; k++)
        g_string_append_c (s, '[');
      CU_ASSERT_PTR_NULL (worker (s->str, &reason));
      for (int k = 0; k < depths[i]; k++)
        g_string_append_c (s, ']');
      g_string_append_c (s, '}');
      CU_ASSERT_PTR_NULL (worker (s->str, &reason));
      g_string_free (s, TRUE);
    }
  w = worker ("{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":"
              "\"draining\",\"capacity\":{\"cpu\":1,\"memory_request_mb\":1},"
              "\"remaining_ms\":1e300,\"cold_remaining_ms\":-1e300,"
              "\"born\":1e300}",
              &reason);
  CU_ASSERT_PTR_NOT_NULL_FATAL (w);
  CU_ASSERT (w->remaining_ms <= INT64_C (1) << 53);
  CU_ASSERT (w->cold_remaining_ms >= -(INT64_C (1) << 53));
  po_worker_free (w);
}

/* Guards against sums that overflow and numbers that are cut to small ones. */
static void
test_impossible_jobs_are_refused (void)
{
  static const char *const steps[]
      = { "\"count\":4294967297",
          "\"count\":1e300",
          "\"count\":1,\"gpu\":9000000000000000000",
          "\"count\":1,\"cpu\":1e300",
          "\"count\":1,\"memory_request_mb\":2000000000",
          "\"count\":1,\"estimated_ms\":1e18",
          "\"count\":1,\"max_per_server\":-1e300" };
  struct qu_queue queue
      = { .name = (char *)"q", .service = (char *)"s", .max_attempts = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      char *body = g_strdup_printf ("{\"steps\":[{%s}]}", steps[i]);
      const char *reason = NULL;

      CU_ASSERT_PTR_NULL (
          po_job_read ("0123456789abcdef", body, &queue, "a", &reason));
      CU_ASSERT_PTR_NOT_NULL (reason);
      g_free (body);
    }
}

static struct po_operator_row
operator_row (const char *key, const char *value, int deleted)
{
  struct po_row row = { .table = (char *)"op",
                        .key = (char *)(uintptr_t)key,
                        .value = (char *)(uintptr_t)value,
                        .deleted = deleted };

  return po_operator_read (&row);
}

/* The key tells what an operator's row means; a value that can't be read
   changes nothing about it.  */
static void
test_operator_rows_are_read (void)
{
  static const char *const values[] = { "", "{", "[]", "7", "\x01" };
  struct po_operator_row r = operator_row ("evacuate/zone/1 b", "{}", 0);

  CU_ASSERT_EQUAL (r.kind, PO_OPERATOR_EVACUATE);
  CU_ASSERT_STRING_EQUAL (r.u.evacuate.domain, "zone/1 b");
  CU_ASSERT (r.u.evacuate.value_is_valid);
  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    {
      r = operator_row ("evacuate/", values[i], 0);
      CU_ASSERT_EQUAL (r.kind, PO_OPERATOR_EVACUATE);
      CU_ASSERT_STRING_EQUAL (r.u.evacuate.domain, "");
      CU_ASSERT_FALSE (r.u.evacuate.value_is_valid);
    }
  r = operator_row ("evacuate/z", "", 1);
  CU_ASSERT_EQUAL (r.kind, PO_OPERATOR_EVACUATE);
  CU_ASSERT (r.u.evacuate.value_is_valid);
  CU_ASSERT_EQUAL (operator_row ("config", "{}", 0).kind, PO_OPERATOR_CONFIG);
  CU_ASSERT_EQUAL (operator_row ("evacuate", "{}", 0).kind, PO_OPERATOR_OTHER);
  CU_ASSERT_EQUAL (operator_row ("configs", "{}", 0).kind, PO_OPERATOR_OTHER);
  CU_ASSERT_EQUAL (operator_row ("", "{}", 0).kind, PO_OPERATOR_OTHER);
}

static void
test_configuration_is_read (void)
{
  const char *reason;
  struct qu_config *c = po_config_read (
      "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"prefix\":\"/p/\",\"service\":\"s\",\"priority\":2,"
      "\"max_attempts\":4,\"stretch\":3.0,\"target_duration_ms\":3000,"
      "\"public\":false}],\"tenants\":[{\"name\":\"t\","
      "\"api_keys\":[\"k\",5],\"guaranteed\":{\"gpu\":72}}]}",
      &reason);

  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  if (!c)
    return;
  CU_ASSERT_EQUAL (c->version, 7);
  CU_ASSERT_EQUAL (c->queue[0].max_attempts, 4);
  CU_ASSERT_EQUAL (c->account[0].key_count, 1);
  CU_ASSERT_EQUAL (c->account[0].guaranteed_accelerators, 72);
  qu_free (c);
}

static void
test_invalid_configurations_are_rejected (void)
{
  static const char *const values[]
      = { "",
          "{",
          "[]",
          "{\"version\":\"7\"}",
          "{\"version\":7,\"routes\":[{\"name\":\"r\"}]}",
          "{\"version\":7,\"routes\":[],\"tenants\":[{}]}" };

  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    {
      const char *reason = NULL;

      CU_ASSERT_PTR_NULL (po_config_read (values[i], &reason));
      CU_ASSERT_PTR_NOT_NULL (reason);
    }
}

static struct qu_queue queue
    = { .name = (char *)"r", .service = (char *)"s", .max_attempts = 2 };

static struct sj_job *
job (const char *body, const char **reason)
{
  return po_job_read ("00000000000000a1", body, &queue, "t", reason);
}

static void
test_job_is_read (void)
{
  const char *reason;
  struct sj_job *j
      = job ("{\"specification\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,"
             "\"memory_request_mb\":256,\"estimated_ms\":900,"
             "\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2000,\"gpu\":1,"
             "\"after\":[0],\"checkpointing\":true,\"gang\":true,"
             "\"same_rack\":true,\"requirements\":\"a\","
             "\"max_per_server\":2}]}",
             &reason);

  CU_ASSERT_PTR_NOT_NULL_FATAL (j);
  if (!j)
    return;
  CU_ASSERT_EQUAL (j->step_count, 2);
  CU_ASSERT_STRING_EQUAL (j->step[0].data_rack, "r1-3");
  CU_ASSERT_EQUAL (j->step[1].depends_on, 1);
  CU_ASSERT (j->step[1].checkpoints && j->step[1].gang && j->step[1].one_rack);
  CU_ASSERT_STRING_EQUAL (j->step[1].label, "a");
  CU_ASSERT_EQUAL (j->step[1].max_per_worker, 2);
  CU_ASSERT_EQUAL (sj_job_critical_path_ms (j), 900);
  sj_job_free (j);
}

/* Reads a job with such a specification and label, both JSON.  */
static struct sj_job *
job_with (const char *specification, const char *label, const char **reason)
{
  char *body = g_strdup_printf ("{\"specification\":%s,\"steps\":[{\"count\":"
                                "1,\"requirements\":%s}]}",
                                specification, label);
  struct sj_job *j = job (body, reason);

  g_free (body);
  return j;
}

static char *
quoted (char c, size_t size)
{
  char *text = g_strnfill (size, c), *out = g_strdup_printf ("\"%s\"", text);

  g_free (text);
  return out;
}

/* Guards against a job that is accepted and runs with another specification or
   without its label, or that the store refuses each time.  */
static void
test_texts_that_would_change_are_refused (void)
{
  char *longest = quoted ('x', 4000), *longer = quoted ('x', 4001);
  char *label = quoted ('x', 10000);
  const char *const refused[][2] = {
    { "7", "null" },           { "[]", "null" }, { "\"a\\u0000b\"", "null" },
    { longer, "null" },        { "\"\"", "[]" }, { "\"\"", "7" },
    { "\"\"", "\"\\u0000\"" }, { "\"\"", label }
  };
  const char *reason;
  struct sj_job *j = job_with (longest, "null", &reason);

  CU_ASSERT_PTR_NOT_NULL (j);
  CU_ASSERT (j && strlen (j->payload) == 4000);
  sj_job_free (j);
  for (size_t i = 0; i < sizeof refused / sizeof *refused; i++)
    {
      reason = NULL;
      j = job_with (refused[i][0], refused[i][1], &reason);
      CU_ASSERT_PTR_NULL (j);
      CU_ASSERT_PTR_NOT_NULL (reason);
      sj_job_free (j);
    }
  g_free (longest);
  g_free (longer);
  g_free (label);
}

static void
test_invalid_jobs_are_rejected (void)
{
  static const char *const values[]
      = { "",
          "7",
          "{}",
          "{\"steps\":[]}",
          "{\"steps\":[{}]}",
          "{\"steps\":[{\"count\":-1}]}",
          "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
          "{\"steps\":[{\"count\":1,\"gpu\":-1}]}",
          "{\"steps\":[{\"count\":4000},{\"count\":4000},{\"count\":2001}]}",
          "{\"steps\":[{\"count\":1}],\"repetitions\":5}" };

  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    {
      const char *reason = NULL;

      CU_ASSERT_PTR_NULL (job (values[i], &reason));
      CU_ASSERT_PTR_NOT_NULL (reason);
    }
}

static void
test_calls_are_parsed (void)
{
  CU_ASSERT_EQUAL (po_parse_call ("POST", "00000000000000a1"), PO_SUBMIT);
  CU_ASSERT_EQUAL (po_parse_call ("GET", "00000000000000a1"), PO_STATE);
  CU_ASSERT_EQUAL (po_parse_call ("DELETE", "00000000000000a1"), PO_CANCEL);
  CU_ASSERT_EQUAL (po_parse_call ("GET", ""), PO_COUNT_WAITING);
  CU_ASSERT_EQUAL (po_parse_call ("PUT", "00000000000000a1"), PO_NO_METHOD);
  CU_ASSERT_EQUAL (po_parse_call ("GET", "too-short"), PO_NO_PATH);
  CU_ASSERT_STRING_EQUAL (po_parse_bearer_key ("Bearer k1"), "k1");
  CU_ASSERT_PTR_NULL (po_parse_bearer_key ("Basic k1"));
  CU_ASSERT_PTR_NULL (po_parse_bearer_key (NULL));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "worker", test_worker_is_read },
    { "invalid workers", test_invalid_workers_are_rejected },
    { "impossible workers", test_impossible_workers_are_rejected },
    { "extreme values", test_extreme_values_are_read },
    { "impossible jobs", test_impossible_jobs_are_refused },
    { "operator rows", test_operator_rows_are_read },
    { "configuration", test_configuration_is_read },
    { "invalid configurations", test_invalid_configurations_are_rejected },
    { "job", test_job_is_read },
    { "invalid jobs", test_invalid_jobs_are_rejected },
    { "texts of a job", test_texts_that_would_change_are_refused },
    { "calls", test_calls_are_parsed },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("decode", tests);
}
