/* Tests the HTTP server: answers from another thread, body limit, TLS and
   draining.  */
#include <arpa/inet.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "fake_cert.h"
#include "skr/base.h"
#include "skr/http.h"
#include "skr/ring.h"
#include "skr/serve.h"
#include "suite.h"

enum
{
  MAX_BODY = 2048,
  MAX_CONNECTIONS = 64,
  TIMEOUT_MS = 10000,
  REQUESTS = 16
};

static struct rg_ring ring;
static struct hs_server *server;
static pthread_t answer_thread;

static void
on_request (void *arg, struct hs_exchange *ex)
{
  (void)arg;
  rg_push (&ring, ex);
}

static int
wants_body (void *arg, struct hs_exchange *ex)
{
  (void)arg;
  return strcmp (hs_get_request (ex)->path, "/unwanted") != 0;
}

/* Answers the queued requests from a thread that is not the server's.  */
static void *
answer_all (void *arg)
{
  void *item;

  (void)arg;
  while (rg_pop (&ring, &item, TIMEOUT_MS) == BS_OK)
    {
      struct hs_exchange *ex = item;
      const struct hs_request *r = hs_get_request (ex);
      const char *echo = hs_query (ex, "echo");
      char body[64];

      snprintf (body, sizeof body, "%s %s %zu %d", r->method,
                echo ? echo : "-", r->body_size, r->too_large);
      hs_answer (ex, &(struct hs_answer){
                         200, "text/plain", body, { { "X-Test", "1" } } });
    }
  return NULL;
}

static void
start (const char *cert, const char *key)
{
  struct hs_config c = { .listen = "127.0.0.1:0",
                         .tls_cert = cert,
                         .tls_key = key,
                         .threads = 2,
                         .max_connections = MAX_CONNECTIONS,
                         .max_body = MAX_BODY,
                         .idle_s = 10,
                         .wants_body = wants_body,
                         .handle = on_request };

  rg_init (&ring, 64);
  CU_ASSERT_EQUAL_FATAL (hs_new (&server, &c), HS_OK);
  pthread_create (&answer_thread, NULL, answer_all, NULL);
}

static void
stop (void)
{
  hs_stop_listening (server);
  rg_close (&ring);
  pthread_join (answer_thread, NULL);
  hs_free (server);
  rg_fini (&ring);
}

static void
send_request (struct hc_client *hc, const char *scheme, const char *path,
              const char *body, struct hc_answer *a, char buf[128])
{
  char url[128];
  struct hc_request r = { .method = body ? "POST" : "GET",
                          .url = url,
                          .body = body,
                          .timeout_ms = TIMEOUT_MS };

  snprintf (url, sizeof url, "%s://127.0.0.1:%d%s", scheme, hs_port (server),
            path);
  *a = (struct hc_answer){ .outcome = HC_NOT_SENT };
  hc_call (hc, &r, a, buf, 128);
}

static struct hc_client *
new_client (const char *ca)
{
  return hc_new (&(struct hc_config){
      .max_in_progress = 32, .connections_per_host = 32, .ca = ca });
}

static void
test_each_request_gets_its_own_answer (void)
{
  struct hc_client *hc = new_client (NULL);
  struct hc_answer a;
  char buf[128];

  start (NULL, NULL);
  for (int i = 0; i < REQUESTS; i++)
    {
      char path[32], want[32];

      snprintf (path, sizeof path, "/?echo=%d", i);
      snprintf (want, sizeof want, "POST %d 3 0", i);
      send_request (hc, "http", path, "abc", &a, buf);
      CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
      CU_ASSERT_STRING_EQUAL (buf, want);
    }
  CU_ASSERT_EQUAL (hs_count_truncated (server), 0);
  stop ();
  hc_free (hc);
}

static void
test_bodies_are_bounded (void)
{
  struct hc_client *hc = new_client (NULL);
  struct hc_answer a;
  char buf[128], body[MAX_BODY + 2];

  start (NULL, NULL);
  memset (body, 'x', sizeof body);
  body[MAX_BODY] = '\0';
  send_request (hc, "http", "/", body, &a, buf);
  CU_ASSERT_STRING_EQUAL (buf, "POST - 2048 0");
  body[MAX_BODY] = 'x';
  body[MAX_BODY + 1] = '\0';
  send_request (hc, "http", "/", body, &a, buf);
  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  CU_ASSERT_EQUAL (buf[strlen (buf) - 1], '1');
  stop ();
  hc_free (hc);
}

/* Starts a server with TLS.  Returns a client that trusts it, with its CA in
   the file PATH, which this makes from a template.  */
static struct hc_client *
start_tls (char *path)
{
  char *cert = NULL, *key = NULL;
  FILE *f;

  CU_ASSERT_EQUAL_FATAL (fake_cert (&cert, &key), 0);
  f = fdopen (mkstemp (path), "w");
  fputs (cert, f);
  fclose (f);
  start (cert, key);
  free (cert);
  free (key);
  return new_client (path);
}

static void
test_tls (void)
{
  char path[] = "/tmp/skr-test-XXXXXX", buf[128];
  struct hc_answer a;
  struct hc_client *trusting = start_tls (path), *other = new_client (NULL);

  send_request (trusting, "https", "/?echo=tls", NULL, &a, buf);
  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  CU_ASSERT_STRING_EQUAL (buf, "GET tls 0 0");
  send_request (other, "https", "/", NULL, &a, buf);
  CU_ASSERT_EQUAL (a.outcome, HC_NOT_SENT);
  send_request (trusting, "http", "/", NULL, &a, buf);
  CU_ASSERT_NOT_EQUAL (a.outcome, HC_ANSWERED);
  stop ();
  hc_free (trusting);
  hc_free (other);
  unlink (path);
}

static const char get_request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/* Connects to the server and sends the SIZE bytes of TEXT.  */
static int
connect_and_send (const char *text, size_t size)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t)hs_port (server)),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&a, sizeof a), 0);
  CU_ASSERT_EQUAL (send (fd, text, size, 0), (ssize_t)size);
  return fd;
}

/* Guards against handshakes that stop half-way and use up all places.  */
static void
test_half_handshakes (void)
{
  static const char client_hello[] = { 0x16, 3, 1, 2, 0, 1 };
  char path[] = "/tmp/skr-test-XXXXXX", buf[128];
  struct hc_client *hc = start_tls (path);
  int fd[MAX_CONNECTIONS + REQUESTS];
  struct hc_answer a;

  for (int i = 0; i < MAX_CONNECTIONS + REQUESTS; i++)
    fd[i] = connect_and_send (client_hello, sizeof client_hello);
  send_request (hc, "https", "/?echo=tls", NULL, &a, buf);
  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  for (int i = 0; i < MAX_CONNECTIONS + REQUESTS; i++)
    close (fd[i]);
  stop ();
  hc_free (hc);
  unlink (path);
}

/* Reads answers from FD until COUNT have come or the connection ends.  Returns
   how many came.  */
static int
count_answers (int fd, int count, char text[1024])
{
  size_t used = 0;
  int found = 0;

  while (found < count)
    {
      ssize_t n = recv (fd, text + used, 1023 - used, 0);

      if (n <= 0)
        break;
      used += (size_t)n;
      text[used] = '\0';
      found = 0;
      for (const char *p = text; (p = strstr (p, "HTTP/1.1 200")); p++)
        found++;
    }
  return found;
}

/* Guards against a refusal that does not reach a client that is still sending,
   and against a second request in the same bytes that is taken for a part of
   the first: the body is larger than all together may hold.  */
static void
test_large_body_then_request (void)
{
  static char request[2 * MAX_BODY + 256];
  int head = sprintf (request,
                      "POST / HTTP/1.1\r\nHost: x\r\n"
                      "Content-Length: %d\r\n\r\n",
                      2 * MAX_BODY);
  char text[1024];
  int fd;

  memset (request + head, 'x', 2 * MAX_BODY);
  memcpy (request + head + 2 * MAX_BODY, get_request, sizeof get_request);
  start (NULL, NULL);
  fd = connect_and_send (request, strlen (request));
  CU_ASSERT_EQUAL (count_answers (fd, 2, text), 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "POST - 0 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "GET - 0 0"));
  close (fd);
  stop ();
}

/* Guards against the bodies of strangers, which the relay held until it
   compared their secret.  */
static void
test_unwanted_bodies_are_not_kept (void)
{
  struct hc_client *hc = new_client (NULL);
  struct hc_answer a;
  char buf[128];

  start (NULL, NULL);
  send_request (hc, "http", "/unwanted", "abc", &a, buf);
  CU_ASSERT_STRING_EQUAL (buf, "POST - 0 0");
  send_request (hc, "http", "/", "abc", &a, buf);
  CU_ASSERT_STRING_EQUAL (buf, "POST - 3 0");
  stop ();
  hc_free (hc);
}

/* Guards against a limit so low that each connection is closed at once.  */
static void
test_single_connection_is_served (void)
{
  struct hs_config c = { .listen = "127.0.0.1:0",
                         .threads = 1,
                         .max_connections = 1,
                         .max_body = MAX_BODY,
                         .idle_s = 10,
                         .handle = on_request };
  int fd;
  char text[1024];

  rg_init (&ring, 64);
  CU_ASSERT_EQUAL_FATAL (hs_new (&server, &c), HS_OK);
  pthread_create (&answer_thread, NULL, answer_all, NULL);
  fd = connect_and_send (get_request, sizeof get_request - 1);
  CU_ASSERT_EQUAL (count_answers (fd, 1, text), 1);
  close (fd);
  stop ();
}

static void
test_bad_addresses_are_refused (void)
{
  static const char *const bad[]
      = { "", "127.0.0.1", "127.0.0.1:", "localhost:1", "127.0.0.1:65536" };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct hs_config c = { .listen = bad[i], .threads = 1 };

      CU_ASSERT_EQUAL (hs_new (&server, &c), HS_EINVAL);
    }
}

static void
test_stopped_server_refuses_connections (void)
{
  struct hc_client *hc = new_client (NULL);
  struct hc_answer a;
  char buf[128];

  start (NULL, NULL);
  hs_drain (server);
  send_request (hc, "http", "/", NULL, &a, buf);
  CU_ASSERT_EQUAL (a.outcome, HC_ANSWERED);
  hs_stop_listening (server);
  send_request (hc, "http", "/", NULL, &a, buf);
  CU_ASSERT_EQUAL (a.outcome, HC_NOT_SENT);
  rg_close (&ring);
  pthread_join (answer_thread, NULL);
  hs_free (server);
  rg_fini (&ring);
  hc_free (hc);
}

static sem_t entered, may_go_on;

/* Keeps the server's only thread, which then accepts no connection.  */
static void
on_request_and_wait (void *arg, struct hs_exchange *ex)
{
  (void)arg;
  sem_post (&entered);
  sem_wait (&may_go_on);
  hs_answer (ex, &(struct hs_answer){ 200, NULL, "", { { NULL, NULL } } });
}

static void
wait_until_entered (void)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += TIMEOUT_MS / 1000;
  CU_ASSERT_EQUAL_FATAL (sem_timedwait (&entered, &until), 0);
}

static void
check_answer (int fd)
{
  char buf[64] = "";

  CU_ASSERT (recv (fd, buf, sizeof buf - 1, 0) > 0);
  CU_ASSERT_NSTRING_EQUAL (buf, "HTTP/1.1 200", 12);
  close (fd);
}

/* Guards against requests cut at a planned stop: a process that ends, as it
   has no connection, or stops listening resets the connections that wait to be
   accepted, with the requests in them.  */
static void
test_waiting_connection_counts (void)
{
  struct hs_config c = { .listen = "127.0.0.1:0",
                         .threads = 1,
                         .max_connections = 8,
                         .max_body = MAX_BODY,
                         .idle_s = 10,
                         .handle = on_request_and_wait };
  int first, second;

  sem_init (&entered, 0, 0);
  sem_init (&may_go_on, 0, 0);
  CU_ASSERT_EQUAL_FATAL (hs_new (&server, &c), HS_OK);
  CU_ASSERT_EQUAL (hs_connections (server), 0);
  hs_drain (server);
  first = connect_and_send (get_request, sizeof get_request - 1);
  wait_until_entered ();
  CU_ASSERT_EQUAL (hs_connections (server), 1);
  second = connect_and_send (get_request, sizeof get_request - 1);
  CU_ASSERT_EQUAL (hs_connections (server), 2);
  hs_stop_listening (server);
  sem_post (&may_go_on);
  wait_until_entered ();
  sem_post (&may_go_on);
  check_answer (first);
  check_answer (second);
  while (hs_connections (server))
    usleep (1000);
  hs_free (server);
  sem_destroy (&entered);
  sem_destroy (&may_go_on);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "own answers", test_each_request_gets_its_own_answer },
    { "bounded bodies", test_bodies_are_bounded },
    { "TLS", test_tls },
    { "large body, then a request", test_large_body_then_request },
    { "unwanted bodies", test_unwanted_bodies_are_not_kept },
    { "single connection", test_single_connection_is_served },
    { "half handshakes", test_half_handshakes },
    { "bad addresses", test_bad_addresses_are_refused },
    { "stops listening", test_stopped_server_refuses_connections },
    { "waiting", test_waiting_connection_counts },
    CU_TEST_INFO_NULL,
  };

  bs_init ();
  return run_suite ("serve", tests);
}
