#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_mux.h"
#include "skr/base.h"
#include "skr/http.h"
#include "skr/ring.h"

enum
{
  /* A connection that was idle for longer is not reused.  */
  MAX_IDLE_CONNECTION_S = 10,
  /* After a connection to a host went silent (a request that may have been
     sent timed out), requests to that host use new connections for so long. */
  SUSPECT_DURATION_MS = 10000,
  DEFAULT_CONNECT_TIMEOUT_MS = 1000,
  CPU_READ_INTERVAL_MS = 500,
  MAX_SPARE_HANDLES = 32,
  /* Curl sends a shorter body with the headers and counts it with them.  */
  MIN_SEPARATE_BODY = 64 << 10 /* bytes */
};

struct transfer
{
  CURL *easy;
  CURLM *multi; /* that it was added to */
  struct curl_slist *headers;
  char *host; /* "IP:PORT" */
  char *body;
  int is_read;     /* has no effect, so that curl may send it again */
  int is_cut;      /* its connection broke before an answer */
  int has_headers; /* all of the answer */
  int sends;       /* times that curl began to send the request */
  int is_late;     /* its limit had passed when curl came to send it */
  int64_t started_ms, send_until_ms;
  GString *response;
  hc_done *done;
  void *arg;
  char error[CURL_ERROR_SIZE];
  struct transfer *next, *prev;
};

/* Easy handles for reuse, as each allocates its buffers anew.  */
struct spare_handles
{
  pthread_mutex_t lock;
  CURL *easy[MAX_SPARE_HANDLES];
  int count;
};

struct hc_client
{
  struct mx_mux mux;
  struct bs_thread thread;
  struct rg_ring ring;
  atomic_int in_progress, stop;
  atomic_llong requests, bytes_out, bytes_in, cpu_us;
  int64_t cpu_read_ms;
  atomic_llong backlog_since_ms; /* 0: none */
  int max_in_progress, connect_timeout_ms;
  char *ca;
  struct transfer active; /* list head */
  struct spare_handles spare;
  GHashTable *suspects; /* host -> int64_t *, time in ms of its end */
  struct bs_clock clock;
};

const char *
hc_strerror (int error)
{
  switch ((enum hc_error)error)
    {
    case HC_OK:
      return "success";
    case HC_EINVAL:
      return "invalid request";
    case HC_ENOMEM:
      return "out of memory";
    case HC_EFULL:
      return "too many requests in progress";
    case HC_ECLOSED:
      return "the client is closed";
    }
  return "unknown error";
}

static size_t
write_answer (char *data, size_t size, size_t count, void *arg)
{
  struct transfer *t = arg;

  if (t->response->len + size * count > HC_MAX_BODY)
    return 0;
  g_string_append_len (t->response, data, (gssize)(size * count));
  return size * count;
}

/* Curl's callback for each line of the headers.  Curl takes an answer whose
   connection ends within the headers for a whole one.  */
static size_t
note_header (char *line, size_t size, size_t count, void *arg)
{
  static const char status_line[] = "HTTP/";
  struct transfer *t = arg;

  if (count > sizeof status_line
      && !memcmp (line, status_line, sizeof status_line - 1))
    t->has_headers = 0;
  if (count && (*line == '\r' || *line == '\n'))
    t->has_headers = 1;
  return size * count;
}

static char *
copy_host (const char *url)
{
  const char *start = strstr (url, "://");

  start = start ? start + 3 : url;
  return g_strndup (start, strcspn (start, "/?"));
}

static CURL *
take_handle (struct spare_handles *s)
{
  CURL *easy = NULL;

  pthread_mutex_lock (&s->lock);
  if (s->count)
    easy = s->easy[--s->count];
  pthread_mutex_unlock (&s->lock);
  return easy ? easy : curl_easy_init ();
}

static void
give_handle_back (struct spare_handles *s, CURL *easy)
{
  curl_easy_reset (easy);
  pthread_mutex_lock (&s->lock);
  if (s->count < MAX_SPARE_HANDLES)
    {
      s->easy[s->count++] = easy;
      easy = NULL;
    }
  pthread_mutex_unlock (&s->lock);
  if (easy)
    curl_easy_cleanup (easy);
}

static void
free_transfer (struct hc_client *hc, struct transfer *t)
{
  if (t->easy)
    give_handle_back (&hc->spare, t->easy);
  curl_slist_free_all (t->headers);
  if (t->response)
    g_string_free (t->response, TRUE);
  g_free (t->body);
  g_free (t->host);
  g_free (t);
}

static curl_socket_t
open_socket (void *arg, curlsocktype purpose, struct curl_sockaddr *a)
{
  int fd = socket (a->family, a->socktype | SOCK_CLOEXEC, a->protocol);

  (void)purpose;
  if (fd < 0)
    return CURL_SOCKET_BAD;
  mx_socket_opened (arg, fd);
  return fd;
}

static int
close_socket (void *arg, curl_socket_t fd)
{
  mx_socket_closed (arg, fd);
  return close (fd);
}

/* With the whole body known curl sends it together with the headers.  */
static void
set_body (struct transfer *t, const char *body)
{
  t->headers = curl_slist_append (t->headers, "Expect:");
  t->headers
      = curl_slist_append (t->headers, "Content-Type: application/json");
  t->body = g_strdup (body);
  curl_easy_setopt (t->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (t->easy, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
  curl_easy_setopt (t->easy, CURLOPT_POSTFIELDS, t->body);
}

/* Curl counts the bytes of its first send only.  When the socket takes none of
   them curl sends the request later and counts nothing, but it has a time of
   the start of the transfer, which a failed first send has not.  */
static int
may_have_been_sent (struct transfer *t)
{
  long request_bytes = 0;
  curl_off_t began_us = 0;

  curl_easy_getinfo (t->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo (t->easy, CURLINFO_PRETRANSFER_TIME_T, &began_us);
  return request_bytes > 0 || began_us > 0;
}

static int
is_past_limit (const struct transfer *t)
{
  const struct bs_clock clock = bs_clock_boot ();

  return t->send_until_ms && bs_now_ms (&clock) >= t->send_until_ms;
}

/* Curl's callback before it sends the request.  Curl sends a request again on
   its own when a reused connection breaks before an answer.  The answer to the
   repeat would say nothing about the first request, which may have been
   executed, so a request with an effect ends here.  */
static int
begin_send (void *arg, char *remote_ip, char *local_ip, int remote_port,
            int local_port)
{
  struct transfer *t = arg;

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  t->is_cut = !t->is_read && may_have_been_sent (t);
  t->is_late = !t->is_cut && is_past_limit (t);
  if (t->is_cut || t->is_late)
    return CURL_PREREQFUNC_ABORT;
  t->sends++;
  return CURL_PREREQFUNC_OK;
}

static void
set_options (struct hc_client *hc, struct transfer *t,
             const struct hc_request *r)
{
  int connect_ms
      = r->connect_timeout_ms ? r->connect_timeout_ms : hc->connect_timeout_ms;

  curl_easy_setopt (t->easy, CURLOPT_URL, r->url);
  curl_easy_setopt (t->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (t->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (t->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (t->easy, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (t->easy, CURLOPT_TIMEOUT_MS, (long)r->timeout_ms);
  curl_easy_setopt (t->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
  /* Hosts are IP addresses, so entries never become outdated; with a limit on
     their age curl looks through all of them after each transfer.  */
  curl_easy_setopt (t->easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
  curl_easy_setopt (t->easy, CURLOPT_MAXAGE_CONN, (long)MAX_IDLE_CONNECTION_S);
  curl_easy_setopt (t->easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT,
                    (long)(r->new_connection != 0));
  curl_easy_setopt (t->easy, CURLOPT_ERRORBUFFER, t->error);
  curl_easy_setopt (t->easy, CURLOPT_WRITEFUNCTION, write_answer);
  curl_easy_setopt (t->easy, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_HEADERFUNCTION, note_header);
  curl_easy_setopt (t->easy, CURLOPT_HEADERDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_PRIVATE, t);
  curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETDATA, &hc->mux);
  curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETDATA, &hc->mux);
  curl_easy_setopt (t->easy, CURLOPT_PREREQFUNCTION, begin_send);
  curl_easy_setopt (t->easy, CURLOPT_PREREQDATA, t);
  if (hc->ca)
    curl_easy_setopt (t->easy, CURLOPT_CAINFO, hc->ca);
  if (r->body)
    set_body (t, r->body);
  curl_easy_setopt (t->easy, CURLOPT_CUSTOMREQUEST, r->method);
  for (int i = 0; i < HC_MAX_HEADERS && r->header[i]; i++)
    t->headers = curl_slist_append (t->headers, r->header[i]);
  curl_easy_setopt (t->easy, CURLOPT_HTTPHEADER, t->headers);
}

int
hc_submit (struct hc_client *hc, const struct hc_request *r)
{
  struct transfer *t;

  if (!r->method || !r->url || !r->done || r->timeout_ms <= 0)
    return HC_EINVAL;
  if (atomic_load (&hc->stop))
    return HC_ECLOSED;
  if (atomic_fetch_add (&hc->in_progress, 1) >= hc->max_in_progress)
    {
      atomic_fetch_sub (&hc->in_progress, 1);
      return HC_EFULL;
    }
  t = g_new0 (struct transfer, 1);
  t->easy = take_handle (&hc->spare);
  t->response = g_string_new (NULL);
  t->host = copy_host (r->url);
  t->is_read = !strcmp (r->method, "GET");
  t->done = r->done;
  t->arg = r->arg;
  t->started_ms = bs_now_ms (&hc->clock);
  t->send_until_ms = r->send_until_ms;
  if (t->easy)
    set_options (hc, t, r);
  if (!t->easy || rg_push (&hc->ring, t))
    {
      free_transfer (hc, t);
      atomic_fetch_sub (&hc->in_progress, 1);
      return HC_EFULL;
    }
  return HC_OK;
}

static void
suspect_host (struct hc_client *hc, const char *host)
{
  int64_t *until = g_new (int64_t, 1);

  *until = bs_now_ms (&hc->clock) + SUSPECT_DURATION_MS;
  g_hash_table_replace (hc->suspects, g_strdup (host), until);
}

static int
is_suspect (struct hc_client *hc, const char *host)
{
  int64_t *until = g_hash_table_lookup (hc->suspects, host);

  if (!until)
    return 0;
  if (*until > bs_now_ms (&hc->clock))
    return 1;
  g_hash_table_remove (hc->suspects, host);
  return 0;
}

static void
count_transfer (struct hc_client *hc, const struct transfer *t)
{
  CURL *easy = t->easy;
  int is_separate = t->body && strlen (t->body) >= MIN_SEPARATE_BODY;
  long request = 0, header = 0;
  curl_off_t up = 0, down = 0;

  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo (easy, CURLINFO_HEADER_SIZE, &header);
  curl_easy_getinfo (easy, CURLINFO_SIZE_UPLOAD_T, &up);
  curl_easy_getinfo (easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
  atomic_fetch_add (&hc->requests, 1);
  atomic_fetch_add (&hc->bytes_out, request + (is_separate ? up : 0));
  atomic_fetch_add (&hc->bytes_in, header + down);
}

void
hc_count (struct hc_client *hc, struct hc_counts *counts)
{
  counts->requests = atomic_load (&hc->requests);
  counts->bytes_out = atomic_load (&hc->bytes_out);
  counts->bytes_in = atomic_load (&hc->bytes_in);
  counts->cpu_us = atomic_load (&hc->cpu_us);
}

static void
end_transfer (struct hc_client *hc, struct transfer *t, CURLcode code)
{
  struct hc_answer a = { .outcome = HC_ANSWERED };
  curl_off_t retry_after = 0;

  if (code == CURLE_OK && !t->has_headers)
    code = CURLE_PARTIAL_FILE;
  if (code != CURLE_OK)
    {
      a.outcome = may_have_been_sent (t) ? HC_LOST : HC_NOT_SENT;
      a.reason = t->is_cut    ? "the connection broke before an answer"
                 : t->is_late ? "its time to be sent had passed"
                 : *t->error  ? t->error
                              : curl_easy_strerror (code);
    }
  else
    {
      curl_easy_getinfo (t->easy, CURLINFO_RESPONSE_CODE, &a.status);
      curl_easy_getinfo (t->easy, CURLINFO_RETRY_AFTER, &retry_after);
      a.retry_after_s = (long)retry_after;
      a.body = t->response->str;
      a.body_size = t->response->len;
    }
  if (code == CURLE_OPERATION_TIMEDOUT && a.outcome == HC_LOST)
    suspect_host (hc, t->host);
  a.sends = t->sends;
  a.duration_ms = bs_now_ms (&hc->clock) - t->started_ms;
  count_transfer (hc, t);
  t->prev->next = t->next;
  t->next->prev = t->prev;
  if (t->multi)
    curl_multi_remove_handle (t->multi, t->easy);
  atomic_fetch_sub (&hc->in_progress, 1);
  t->done (t->arg, &a);
  free_transfer (hc, t);
}

static void
start_transfer (struct hc_client *hc, struct transfer *t)
{
  if (is_suspect (hc, t->host))
    curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT, 1L);
  t->next = hc->active.next;
  t->prev = &hc->active;
  t->next->prev = t;
  hc->active.next = t;
  t->multi = mx_multi (&hc->mux, t->host);
  if (!t->multi || curl_multi_add_handle (t->multi, t->easy))
    end_transfer (hc, t, CURLE_OUT_OF_MEMORY);
}

static void
end_completed_transfers (struct hc_client *hc)
{
  CURLMsg *msg;

  while ((msg = mx_next_message (&hc->mux)))
    {
      struct transfer *t;

      if (msg->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &t);
      end_transfer (hc, t, msg->data.result);
    }
}

static void
update_cpu_time (struct hc_client *hc)
{
  int64_t now_ms = bs_now_ms (&hc->clock);

  if (now_ms - hc->cpu_read_ms < CPU_READ_INTERVAL_MS)
    return;
  hc->cpu_read_ms = now_ms;
  atomic_store (&hc->cpu_us, bs_thread_cpu_us ());
}

/* IS_FULL is whether more sockets may have been ready than were handled.  */
static void
note_backlog (struct hc_client *hc, int is_full)
{
  if (is_full == (atomic_load (&hc->backlog_since_ms) != 0))
    return;
  atomic_store (&hc->backlog_since_ms, is_full ? bs_now_ms (&hc->clock) : 0);
}

int64_t
hc_backlog_ms (struct hc_client *hc)
{
  int64_t since_ms = atomic_load (&hc->backlog_since_ms);

  return since_ms ? bs_now_ms (&hc->clock) - since_ms : 0;
}

static void *
client_main (void *arg)
{
  struct hc_client *hc = arg;
  void *item;

  while (!atomic_load (&hc->stop))
    {
      while (rg_pop (&hc->ring, &item, 0) == BS_OK)
        start_transfer (hc, item);
      note_backlog (hc, mx_wait (&hc->mux));
      end_completed_transfers (hc);
      update_cpu_time (hc);
    }
  rg_close (&hc->ring);
  while (rg_pop (&hc->ring, &item, 0) == BS_OK)
    start_transfer (hc, item);
  while (hc->active.next != &hc->active)
    end_transfer (hc, hc->active.next, CURLE_ABORTED_BY_CALLBACK);
  return NULL;
}

static void
wake_client (void *arg)
{
  mx_wake (&((struct hc_client *)arg)->mux);
}

static void
free_client (struct hc_client *hc)
{
  while (hc->spare.count)
    curl_easy_cleanup (hc->spare.easy[--hc->spare.count]);
  pthread_mutex_destroy (&hc->spare.lock);
  rg_fini (&hc->ring);
  mx_fini (&hc->mux);
  g_hash_table_destroy (hc->suspects);
  g_free (hc->ca);
  g_free (hc);
}

struct hc_client *
hc_new (const struct hc_config *config)
{
  struct hc_client *hc = g_new0 (struct hc_client, 1);

  hc->max_in_progress = config->max_in_progress;
  hc->connect_timeout_ms = config->connect_timeout_ms
                               ? config->connect_timeout_ms
                               : DEFAULT_CONNECT_TIMEOUT_MS;
  hc->clock = bs_clock_system ();
  hc->ca = g_strdup (config->ca);
  hc->active.next = hc->active.prev = &hc->active;
  pthread_mutex_init (&hc->spare.lock, NULL);
  hc->suspects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (mx_init (&hc->mux, config->connections_per_host) == BS_OK
      && rg_init (&hc->ring, (unsigned)config->max_in_progress) == BS_OK)
    {
      rg_on_push (&hc->ring, wake_client, hc);
      if (bs_thread_start (&hc->thread, client_main, hc) == BS_OK)
        return hc;
    }
  free_client (hc);
  return NULL;
}

void
hc_free (struct hc_client *hc)
{
  if (!hc)
    return;
  atomic_store (&hc->stop, 1);
  mx_wake (&hc->mux);
  bs_thread_join (&hc->thread);
  free_client (hc);
}

struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  int done;
  struct hc_answer answer;
  char *buf;
  size_t size;
};

static void
copy_answer (void *arg, const struct hc_answer *a)
{
  struct waiter *w = arg;

  pthread_mutex_lock (&w->lock);
  w->answer = *a;
  w->answer.reason = a->outcome == HC_ANSWERED ? NULL : "no whole answer";
  if (a->body && w->size)
    {
      size_t n = a->body_size < w->size - 1 ? a->body_size : w->size - 1;

      memcpy (w->buf, a->body, n);
      w->buf[n] = '\0';
      w->answer.body = w->buf;
      w->answer.body_size = n;
    }
  w->done = 1;
  pthread_cond_signal (&w->cond);
  pthread_mutex_unlock (&w->lock);
}

int
hc_call (struct hc_client *hc, const struct hc_request *request,
         struct hc_answer *answer, char *buf, size_t size)
{
  struct waiter w = { .buf = buf, .size = size };
  struct hc_request r = *request;
  int error;

  pthread_mutex_init (&w.lock, NULL);
  pthread_cond_init (&w.cond, NULL);
  r.done = copy_answer;
  r.arg = &w;
  error = hc_submit (hc, &r);
  if (!error)
    {
      pthread_mutex_lock (&w.lock);
      while (!w.done)
        pthread_cond_wait (&w.cond, &w.lock);
      pthread_mutex_unlock (&w.lock);
      *answer = w.answer;
    }
  pthread_cond_destroy (&w.cond);
  pthread_mutex_destroy (&w.lock);
  return error;
}
