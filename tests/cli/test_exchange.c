/* Requests of which the first entry VM loses the answer.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cli/cli.h"
#include "raw_server.h"
#include "skr/base.h"
#include "suite.h"

enum
{
  TIMEOUT_MS = 5000
};

/* Calls RUN with two entry VMs that answer FIRST and SECOND, "" for none, and
   returns its exit code.  */
static int
with_entries (const char *first, const char *second,
              int (*run) (struct sk_session *s))
{
  struct hc_config config
      = { .max_in_progress = 8, .connections_per_host = 2 };
  struct sk_session s = { .hc = hc_new (&config) };
  struct raw_server entry[2];
  char addresses[2 * sizeof entry->address];
  int code;

  CU_ASSERT_FATAL (!raw_server_start (&entry[0], first)
                   && !raw_server_start (&entry[1], second));
  snprintf (addresses, sizeof addresses, "%s,%s", entry[0].address,
            entry[1].address);
  s.set = (struct sk_settings){
    .entry = addresses, .key = "k", .ca = "", .timeout_ms = TIMEOUT_MS
  };
  code = run (&s);
  hc_free (s.hc);
  raw_server_end (&entry[0]);
  raw_server_end (&entry[1]);
  return code;
}

static int
exchange (struct sk_session *s, const char *method)
{
  struct sk_key key = { "key", 1 };
  json_t *body = !strcmp (method, "POST") ? json_object () : NULL;
  struct sk_reply r
      = sk_exchange (s, method, "/v1/jobs", body, body ? &key : NULL, -1);

  json_decref (body);
  sk_reply_fini (&r);
  return r.exit;
}

static int
submit (struct sk_session *s)
{
  return exchange (s, "POST");
}

static int
cancel (struct sk_session *s)
{
  return exchange (s, "DELETE");
}

static int
look_up (struct sk_session *s)
{
  return exchange (s, "GET");
}

static int
put_list (struct sk_session *s)
{
  const char *argv[] = { "plans", "put", NULL };
  char path[] = "/tmp/skr-test-exchange-XXXXXX";
  static const char list[] = "{\"version\":4,\"list\":[{\"plan\":\"p\"}]}";
  int fd = mkstemp (path), code;

  CU_ASSERT_FATAL (
      fd >= 0 && write (fd, list, strlen (list)) == (ssize_t)strlen (list));
  close (fd);
  argv[2] = path;
  code = sk_lists (s, 3, argv);
  unlink (path);
  return code;
}

#define REFUSED "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
#define NO_KEY "HTTP/1.1 401 No\r\nContent-Length: 0\r\n\r\n"
#define ABSENT "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
#define FAILED "HTTP/1.1 502 Failed\r\nContent-Length: 0\r\n\r\n"
#define PROVED                                                                \
  "HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\n{\"state\":\"not_run\"}"
#define ACCEPTED                                                              \
  "HTTP/1.1 202 Accepted\r\nContent-Length: 11\r\n\r\n{\"job\":\"1\"}"

/* Guards against "not run" for a request that the first VM may have carried
   out.  */
static void
test_refused_repeat_is_unknown (void)
{
  CU_ASSERT_EQUAL (with_entries ("", REFUSED, submit), SK_UNKNOWN);
  CU_ASSERT_EQUAL (with_entries ("", NO_KEY, submit), SK_UNKNOWN);
  CU_ASSERT_EQUAL (with_entries ("", ABSENT, cancel), SK_UNKNOWN);
  CU_ASSERT_EQUAL (with_entries ("", REFUSED, cancel), SK_UNKNOWN);
  CU_ASSERT_EQUAL (with_entries ("", REFUSED, put_list), SK_UNKNOWN);
}

/* Guards against "unknown" where the answer tells the end.  */
static void
test_answers_that_tell_the_end (void)
{
  CU_ASSERT_EQUAL (with_entries ("", ACCEPTED, submit), SK_OK);
  CU_ASSERT_EQUAL (with_entries ("", FAILED, submit), SK_FAILED);
  CU_ASSERT_EQUAL (with_entries ("", PROVED, submit), SK_NOT_RUN);
  CU_ASSERT_EQUAL (with_entries ("", REFUSED, look_up), SK_NOT_RUN);
  CU_ASSERT_EQUAL (with_entries (REFUSED, "", submit), SK_NOT_RUN);
  CU_ASSERT_EQUAL (with_entries (ABSENT, "", cancel), SK_NOT_FOUND);
}

#define CONFLICT(version, plan)                                               \
  "HTTP/1.1 409 Conflict\r\nConnection: close\r\n\r\n{\"current\":"           \
  "{\"version\":" version ",\"list\":[{\"plan\":\"" plan "\"}]}}"

/* Guards against a conflict of a list with itself: it was accepted, and the
   answer lost.  */
static void
test_conflict_of_a_repeat (void)
{
  CU_ASSERT_EQUAL (with_entries ("", CONFLICT ("5", "p"), put_list), SK_OK);
  CU_ASSERT_EQUAL (with_entries ("", CONFLICT ("5", "q"), put_list),
                   SK_CONFLICT);
  CU_ASSERT_EQUAL (with_entries ("", CONFLICT ("6", "q"), put_list),
                   SK_UNKNOWN);
  CU_ASSERT_EQUAL (with_entries (CONFLICT ("5", "p"), "", put_list),
                   SK_CONFLICT);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "refused repeat", test_refused_repeat_is_unknown },
    { "told", test_answers_that_tell_the_end },
    { "conflict", test_conflict_of_a_repeat },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("exchange", tests);
}
