#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "skr/base.h"
#include "skr/http.h"
#include "suite.h"

enum
{
  BUF_SIZE = 4096,
  ANSWER_MS = 30000, /* time-out where an answer or the end is expected */
  SILENCE_MS = 1500, /* time-out where nothing is */
  QUEUED_MS = 50,
  LARGE_BODY = 200000 /* bytes; curl sends its headers first */
};

/* Reaction of the fake server to the second request on a connection.  */
enum second_request_action
{
  CLOSE_AFTER_READ,
  NEVER_ANSWER,
  TRUNCATE_ANSWER,
  SEND_TEXT /* second_answer, then the connection ends */
};

static int listener;
static char url[64];
static enum second_request_action second_request_action;
static const char *second_answer;
static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
static const char *first_answer = ok;
static const char *after_first_answer; /* sent unasked; "" closes */
static atomic_int may_send_unasked, unasked_sent;
static atomic_int requests_seen;
static atomic_int connections_used; /* on which bytes arrived */
static atomic_int bytes_seen;
static atomic_int sends_to_fail; /* calls of send (), with send_error */
static int send_error;

static int
read_request (int fd)
{
  char buf[BUF_SIZE];
  size_t n = 0;
  ssize_t got;

  while ((got = recv (fd, buf + n, sizeof buf - 1 - n, 0)) > 0)
    {
      if (!n)
        atomic_fetch_add (&connections_used, 1);
      n += (size_t)got;
      atomic_fetch_add (&bytes_seen, (int)got);
      buf[n] = '\0';
      if (strstr (buf, "\r\n\r\n")
          && (strstr (buf, "{\"once\":1}") || !strstr (buf, "Content-Length")))
        {
          atomic_fetch_add (&requests_seen, 1);
          return 1;
        }
    }
  return 0;
}

/* In place of the C library's, for curl too.  */
ssize_t
send (int fd, const void *data, size_t size, int flags)
{
  if (atomic_load (&sends_to_fail) && atomic_fetch_sub (&sends_to_fail, 1) > 0)
    {
      errno = send_error;
      return -1;
    }
  return sendto (fd, data, size, flags, NULL, 0);
}

static void
answer (int fd, const char *text)
{
  ssize_t sent = sendto (fd, text, strlen (text), MSG_NOSIGNAL, NULL, 0);

  (void)sent;
}

static void *
serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  const char *unasked = after_first_answer;

  if (read_request (fd))
    answer (fd, first_answer);
  if (unasked)
    {
      while (!atomic_load (&may_send_unasked))
        usleep (1000);
      answer (fd, unasked);
      if (!*unasked)
        shutdown (fd, SHUT_WR);
      atomic_store (&unasked_sent, 1);
    }
  if (read_request (fd))
    switch (second_request_action)
      {
      case CLOSE_AFTER_READ:
        break;
      case NEVER_ANSWER:
        read_request (fd);
        break;
      case TRUNCATE_ANSWER:
        answer (fd, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart");
        break;
      case SEND_TEXT:
        answer (fd, second_answer);
        break;
      }
  close (fd);
  return NULL;
}

static void *
serve (void *arg)
{
  (void)arg;
  for (;;)
    {
      pthread_t thread;
      int fd = accept (listener, NULL, NULL);

      if (fd < 0)
        return NULL;
      pthread_create (&thread, NULL, serve_connection, (void *)(intptr_t)fd);
      pthread_detach (thread);
    }
}

static int
start_server (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t size = sizeof a;
  pthread_t thread;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (listener, (struct sockaddr *)&a, sizeof a) || listen (listener, 16)
      || getsockname (listener, (struct sockaddr *)&a, &size))
    return -1;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/", ntohs (a.sin_port));
  return pthread_create (&thread, NULL, serve, NULL);
}

static struct hc_answer
call (struct hc_client *hc, struct hc_request r)
{
  struct hc_answer a = { .outcome = HC_LOST };
  static char buf[BUF_SIZE];

  r.url = url;
  if (!r.timeout_ms)
    r.timeout_ms = ANSWER_MS;
  CU_ASSERT_EQUAL (hc_call (hc, &r, &a, buf, sizeof buf), HC_OK);
  return a;
}

static struct hc_answer
post (struct hc_client *hc)
{
  return call (
      hc, (struct hc_request){ .method = "POST", .body = "{\"once\":1}" });
}

/* Sends a request that the server does not answer.  */
static struct hc_answer
post_in_silence (struct hc_client *hc)
{
  return call (hc, (struct hc_request){ .method = "POST",
                                        .body = "{\"once\":1}",
                                        .timeout_ms = SILENCE_MS });
}

static struct hc_client *
new_client (void)
{
  struct hc_config config
      = { .max_in_progress = 8, .connections_per_host = 1 };

  return hc_new (&config);
}

/* Sends two requests over one connection; the server reacts to the second one
   with B.  It must end as HC_LOST and must not be sent twice.  */
static void
check_lost_and_delivered_once (enum second_request_action b)
{
  struct hc_client *hc = new_client ();
  struct hc_answer a;

  second_request_action = b;
  a = post (hc);
  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (a.status, 200);
  atomic_store (&requests_seen, 0);
  a = b == NEVER_ANSWER ? post_in_silence (hc) : post (hc);
  CU_ASSERT_EQUAL (a.outcome, HC_LOST);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
  hc_free (hc);
}

static void
test_broken_connection_sends_once (void)
{
  check_lost_and_delivered_once (CLOSE_AFTER_READ);
}

/* Sends R over a connection that the server closes once it has read R.  */
static struct hc_answer
call_on_breaking_connection (struct hc_request r)
{
  struct hc_client *hc = new_client ();
  struct hc_answer a;

  second_request_action = CLOSE_AFTER_READ;
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  atomic_store (&requests_seen, 0);
  a = call (hc, r);
  hc_free (hc);
  return a;
}

/* Guards against an answer to a repeated order that is taken for the answer to
   its only try (TWICE, LIMIT).  */
static void
test_order_is_sent_once (void)
{
  struct hc_answer a = call_on_breaking_connection (
      (struct hc_request){ .method = "POST", .body = "{\"once\":1}" });

  CU_ASSERT_EQUAL (a.outcome, HC_LOST);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
}

/* Guards against a cancel that succeeds and is answered "no such job".  */
static void
test_delete_is_sent_once (void)
{
  struct hc_answer a = call_on_breaking_connection (
      (struct hc_request){ .method = "DELETE" });

  CU_ASSERT_EQUAL (a.outcome, HC_LOST);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
}

/* Guards against a read that fails because an idle connection was closed.  */
static void
test_read_survives_broken_connection (void)
{
  struct hc_answer a
      = call_on_breaking_connection ((struct hc_request){ .method = "GET" });

  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 2);
}

static void
test_silent_connection_ends_lost (void)
{
  check_lost_and_delivered_once (NEVER_ANSWER);
}

static void
test_truncated_answer_is_lost (void)
{
  check_lost_and_delivered_once (TRUNCATE_ANSWER);
}

static void
test_silent_connection_is_replaced (void)
{
  struct hc_client *hc = new_client ();

  second_request_action = NEVER_ANSWER;
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (post_in_silence (hc).outcome, HC_LOST);
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  hc_free (hc);
}

static void
test_refused_connection_is_not_sent (void)
{
  struct hc_client *hc = new_client ();
  struct hc_request r = { .method = "POST",
                          .url = "http://127.0.0.1:1/",
                          .body = "{}",
                          .timeout_ms = SILENCE_MS };
  struct hc_answer a = { .outcome = HC_LOST };

  CU_ASSERT_EQUAL (hc_call (hc, &r, &a, NULL, 0), HC_OK);
  CU_ASSERT_EQUAL (a.outcome, HC_NOT_SENT);
  hc_free (hc);
}

static void
test_request_without_callback_is_invalid (void)
{
  struct hc_client *hc = new_client ();
  struct hc_request r = { .method = "GET", .url = url, .timeout_ms = 1 };

  CU_ASSERT_EQUAL (hc_submit (hc, &r), HC_EINVAL);
  hc_free (hc);
}

/* The outcome of a POST that is answered with TEXT and the connection's end on
   a connection that was used before.  */
static struct hc_answer
post_answered (const char *text)
{
  struct hc_client *hc = new_client ();
  struct hc_answer a;

  second_request_action = SEND_TEXT;
  second_answer = text;
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  atomic_store (&requests_seen, 0);
  a = post (hc);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
  hc_free (hc);
  return a;
}

/* Guards against an answer that ends within its headers and counts as
   whole.  */
static void
test_cut_headers_are_lost (void)
{
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 200 OK\r\n").outcome, HC_LOST);
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 503 Busy\r\nRetry-Af").outcome,
                   HC_LOST);
  CU_ASSERT_EQUAL (
      post_answered ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n").outcome,
      HC_LOST);
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 20").outcome, HC_LOST);
  CU_ASSERT_EQUAL (post_answered ("garbage\r\n\r\n").outcome, HC_LOST);
}

/* Guards against a chunked answer that ends early and counts as whole.  */
static void
test_cut_chunks_are_lost (void)
{
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n2\r\nok\r\n")
                       .outcome,
                   HC_LOST);
}

/* Guards against whole answers that count as lost.  */
static void
test_whole_answers (void)
{
  struct hc_answer a
      = post_answered ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nrest");

  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (a.body_size, 4);
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 204 None\r\n\r\n").outcome,
                   HC_ANSWERED);
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n0\r\n\r\n")
                       .outcome,
                   HC_ANSWERED);
}

/* Guards against an interim answer that counts as the answer, and against a
   request that is sent again after 417 or 408.  */
static void
test_statuses (void)
{
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 100 Continue\r\n\r\n").outcome,
                   HC_LOST);
  CU_ASSERT_EQUAL (post_answered ("HTTP/1.1 103 Early\r\n\r\n"
                                  "HTTP/1.1 409 No\r\n"
                                  "Content-Length: 0\r\n\r\n")
                       .status,
                   409);
  CU_ASSERT_EQUAL (
      post_answered ("HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n").status,
      417);
  CU_ASSERT_EQUAL (
      post_answered ("HTTP/1.1 408 No\r\nContent-Length: 0\r\n\r\n").status,
      408);
}

static void
wait_for (atomic_int *count, int wanted)
{
  for (int i = 0; i < ANSWER_MS && atomic_load (count) < wanted; i++)
    usleep (1000);
  CU_ASSERT_EQUAL (atomic_load (count), wanted);
}

/* Sends a second order after the server has sent TEXT unasked.  */
static struct hc_answer
post_after (const char *text)
{
  struct hc_client *hc = new_client ();
  struct hc_answer a;

  after_first_answer = text;
  atomic_store (&may_send_unasked, 0);
  atomic_store (&unasked_sent, 0);
  second_request_action = CLOSE_AFTER_READ;
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  atomic_store (&may_send_unasked, 1);
  if (text)
    wait_for (&unasked_sent, 1);
  atomic_store (&requests_seen, 0);
  a = post (hc);
  after_first_answer = NULL;
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
  hc_free (hc);
  return a;
}

/* Guards against an answer that was sent before its request and counts as the
   answer to it.  */
static void
test_unasked_answer_is_ignored (void)
{
  struct hc_answer a
      = post_after ("HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno");

  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (a.status, 200);
}

/* Guards against bytes beyond an answer that count as the next one.  */
static void
test_excess_is_ignored (void)
{
  first_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                 "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno";
  CU_ASSERT_EQUAL (post_after (NULL).status, 200);
  first_answer = ok;
}

/* Guards against an order that is lost because the server closed an idle
   connection.  */
static void
test_closed_idle_connection_is_replaced (void)
{
  CU_ASSERT_EQUAL (post_after ("").outcome, HC_ANSWERED);
}

/* Sends a DELETE on a used connection after COUNT sends fail with ERROR.  */
static struct hc_answer
delete_with_failing_sends (int count, int error)
{
  struct hc_client *hc = new_client ();
  struct hc_answer a;

  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  atomic_store (&requests_seen, 0);
  send_error = error;
  atomic_store (&sends_to_fail, count);
  a = call (hc, (struct hc_request){ .method = "DELETE",
                                     .timeout_ms
                                     = second_request_action == NEVER_ANSWER
                                           ? SILENCE_MS
                                           : ANSWER_MS });
  hc_free (hc);
  return a;
}

/* Guards against "not sent" for a request that waited for room in the
   socket's buffer and was then sent.  */
static void
test_late_send_is_lost (void)
{
  second_request_action = NEVER_ANSWER;
  CU_ASSERT_EQUAL (delete_with_failing_sends (1, EAGAIN).outcome, HC_LOST);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
}

/* Guards against a repeat of a request that waited for room in the socket's
   buffer and whose connection broke after it was sent.  */
static void
test_late_send_is_not_repeated (void)
{
  second_request_action = CLOSE_AFTER_READ;
  CU_ASSERT_EQUAL (delete_with_failing_sends (1, EAGAIN).outcome, HC_LOST);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
}

/* Guards against "lost" for a request of which no byte was taken: on another
   connection it succeeds, and if that fails too it can be planned anew.  */
static void
test_failed_send_is_not_sent (void)
{
  second_request_action = CLOSE_AFTER_READ;
  CU_ASSERT_EQUAL (delete_with_failing_sends (1, EPIPE).outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
  CU_ASSERT_EQUAL (delete_with_failing_sends (2, EPIPE).outcome, HC_NOT_SENT);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 0);
}

/* Guards against a large body whose headers were sent and that counts as not
   sent, or is sent again.  */
static void
test_large_body_is_sent_once (void)
{
  struct hc_client *hc = new_client ();
  char *body = malloc (LARGE_BODY + 1);
  struct hc_answer a;

  memset (body, '1', LARGE_BODY);
  body[LARGE_BODY] = '\0';
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  atomic_store (&connections_used, 0);
  a = call (hc, (struct hc_request){ .method = "POST", .body = body });
  CU_ASSERT_EQUAL (a.outcome, HC_LOST);
  CU_ASSERT_EQUAL (atomic_load (&connections_used), 1);
  hc_free (hc);
  free (body);
}

/* Guards against a part of an answer that counts as the whole one.  */
static void
test_long_answer_is_lost (void)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
  static char text[sizeof head + HC_MAX_BODY + 1];

  memset (text, ' ', sizeof text - 1);
  memcpy (text, head, sizeof head - 1);
  CU_ASSERT_EQUAL (post_answered (text).outcome, HC_LOST);
}

/* Guards against bytes of a TLS handshake that make a request count as
   lost.  */
static void
test_failed_handshake_is_not_sent (void)
{
  struct hc_client *hc = new_client ();
  struct hc_request r
      = { .method = "POST", .body = "{}", .timeout_ms = SILENCE_MS };
  struct hc_answer a = { .outcome = HC_LOST };
  char tls_url[sizeof url + 1];

  snprintf (tls_url, sizeof tls_url, "https%s", url + strlen ("http"));
  r.url = tls_url;
  CU_ASSERT_EQUAL (hc_call (hc, &r, &a, NULL, 0), HC_OK);
  CU_ASSERT_EQUAL (a.outcome, HC_NOT_SENT);
  hc_free (hc);
}

/* Guards against bytes that are counted twice.  */
static void
test_bytes_are_counted_once (void)
{
  struct hc_client *hc = new_client ();
  struct hc_counts n;

  atomic_store (&bytes_seen, 0);
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  hc_count (hc, &n);
  CU_ASSERT_EQUAL (n.requests, 1);
  CU_ASSERT_EQUAL (n.bytes_out, atomic_load (&bytes_seen));
  CU_ASSERT_EQUAL (n.bytes_in, strlen (ok));
  hc_free (hc);
}

struct ending
{
  atomic_int ended;
  struct hc_answer answer;
};

static void
on_end (void *arg, const struct hc_answer *a)
{
  struct ending *e = arg;

  e->answer = *a;
  atomic_store (&e->ended, 1);
}

static void
start_post (struct hc_client *hc, struct ending *e, int timeout_ms)
{
  struct hc_request r = { .method = "POST",
                          .url = url,
                          .body = "{\"once\":1}",
                          .timeout_ms = timeout_ms,
                          .done = on_end,
                          .arg = e };

  CU_ASSERT_EQUAL (hc_submit (hc, &r), HC_OK);
}

/* Guards against "lost" for a request that waited for a connection until its
   time-out: it can be planned anew at once.  */
static void
test_queued_request_is_not_sent (void)
{
  struct hc_client *hc = new_client ();
  struct ending sent = { 0 }, queued = { 0 };

  second_request_action = NEVER_ANSWER;
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  atomic_store (&requests_seen, 0);
  start_post (hc, &sent, SILENCE_MS);
  wait_for (&requests_seen, 1);
  hc_call (hc,
           &(struct hc_request){ .method = "POST",
                                 .url = url,
                                 .body = "{}",
                                 .timeout_ms = QUEUED_MS },
           &queued.answer, NULL, 0);
  CU_ASSERT_EQUAL (queued.answer.outcome, HC_NOT_SENT);
  wait_for (&sent.ended, 1);
  CU_ASSERT_EQUAL (sent.answer.outcome, HC_LOST);
  hc_free (hc);
}

/* Guards against hc_free that calls a request lost that was not sent, as its
   handle served another one before, or the reverse.  */
static void
test_free_ends_requests (void)
{
  struct hc_client *hc = new_client ();
  struct ending sent = { 0 }, queued = { 0 };

  second_request_action = NEVER_ANSWER;
  CU_ASSERT_EQUAL (post (hc).outcome, HC_ANSWERED);
  atomic_store (&requests_seen, 0);
  start_post (hc, &sent, ANSWER_MS);
  wait_for (&requests_seen, 1);
  start_post (hc, &queued, ANSWER_MS);
  hc_free (hc);
  CU_ASSERT_EQUAL (sent.answer.outcome, HC_LOST);
  CU_ASSERT_EQUAL (queued.answer.outcome, HC_NOT_SENT);
}

/* A request that is submitted on the client's thread, which is then busy for
   DELAY_MS.  */
struct delayed
{
  struct hc_client *hc;
  struct ending end;
  int delay_ms, limit_ms;
};

static void
submit_and_delay (void *arg, const struct hc_answer *a)
{
  const struct bs_clock clock = bs_clock_boot ();
  struct delayed *d = arg;
  int64_t now_ms = bs_now_ms (&clock);
  struct hc_request r = { .method = "POST",
                          .url = url,
                          .body = "{\"once\":1}",
                          .timeout_ms = ANSWER_MS,
                          .send_until_ms = now_ms + d->limit_ms,
                          .done = on_end,
                          .arg = &d->end };

  CU_ASSERT_EQUAL (a->outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (hc_submit (d->hc, &r), HC_OK);
  while (bs_now_ms (&clock) < now_ms + d->delay_ms)
    usleep (1000);
}

static struct hc_answer
call_delayed (int delay_ms, int limit_ms)
{
  struct delayed d
      = { .hc = new_client (), .delay_ms = delay_ms, .limit_ms = limit_ms };
  struct hc_request r = { .method = "POST",
                          .url = url,
                          .body = "{\"once\":1}",
                          .timeout_ms = ANSWER_MS,
                          .done = submit_and_delay,
                          .arg = &d };

  second_answer = ok;
  second_request_action = SEND_TEXT;
  atomic_store (&requests_seen, 0);
  CU_ASSERT_EQUAL (hc_submit (d.hc, &r), HC_OK);
  wait_for (&d.end.ended, 1);
  hc_free (d.hc);
  return d.end.answer;
}

/* Guards against an order that goes out after the lease under which it was
   given, as the process was paused, or the VM suspended, in between.  */
static void
test_request_is_not_sent_after_its_limit (void)
{
  CU_ASSERT_EQUAL (call_delayed (20, 20).outcome, HC_NOT_SENT);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 1);
  CU_ASSERT_EQUAL (call_delayed (0, 100000).outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (atomic_load (&requests_seen), 2);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "counts", test_bytes_are_counted_once },
    { "broken", test_broken_connection_sends_once },
    { "order once", test_order_is_sent_once },
    { "delete once", test_delete_is_sent_once },
    { "read again", test_read_survives_broken_connection },
    { "silent", test_silent_connection_ends_lost },
    { "cut", test_truncated_answer_is_lost },
    { "anew", test_silent_connection_is_replaced },
    { "refused", test_refused_connection_is_not_sent },
    { "free", test_request_without_callback_is_invalid },
    { "cut headers", test_cut_headers_are_lost },
    { "cut chunks", test_cut_chunks_are_lost },
    { "whole", test_whole_answers },
    { "statuses", test_statuses },
    { "unasked", test_unasked_answer_is_ignored },
    { "excess", test_excess_is_ignored },
    { "idle closed", test_closed_idle_connection_is_replaced },
    { "late send", test_late_send_is_lost },
    { "late send once", test_late_send_is_not_repeated },
    { "failed send", test_failed_send_is_not_sent },
    { "large body", test_large_body_is_sent_once },
    { "long", test_long_answer_is_lost },
    { "handshake", test_failed_handshake_is_not_sent },
    { "queued", test_queued_request_is_not_sent },
    { "ended", test_free_ends_requests },
    { "limit", test_request_is_not_sent_after_its_limit },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  if (start_server ())
    return EXIT_FAILURE;
  return run_suite ("http", tests);
}
