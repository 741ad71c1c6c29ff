/* Minimal HTTP client.  It reports whether a connection ended after the
   request was sent, and never retries.  */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/soak/soak.h"

enum
{
  REQUEST_SIZE = 8192,  /* bytes */
  DEADLINE_MS = 3000,   /* of an answer */
  NOT_SENT_ANSWER = 502 /* status of the proxy if the VM is unreachable */
};

void
so_disconnect (struct so_connection *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
}

/* Returns whether the peer has closed an idle connection.  */
static int
is_stale (int fd)
{
  struct pollfd p = { fd, POLLIN, 0 };

  return poll (&p, 1, 0) > 0;
}

static int
ensure_connected (struct soak *s, struct so_connection *c)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  char ip[SF_ADDRESS_SIZE];

  if (c->fd >= 0 && !is_stale (c->fd))
    return 0;
  so_disconnect (c);
  snprintf (ip, sizeof ip, "127.%d.0.%d", SO_CALLERS_NET, c->vm + 1);
  inet_pton (AF_INET, ip, &a.sin_addr);
  a.sin_port = htons ((uint16_t)s->proxy.port);
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (c->fd < 0)
    return -1;
  if (!connect (c->fd, (struct sockaddr *)&a, sizeof a))
    return 0;
  so_disconnect (c);
  return -1;
}

static int
format_request (const struct so_exchange *x, char out[REQUEST_SIZE])
{
  size_t n = x->body ? strlen (x->body) : 0;

  return snprintf (out, REQUEST_SIZE,
                   "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s"
                   "\r\n%s: %d\r\nContent-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   x->method, x->path, SO_HOST, x->key, po_deadline_header (),
                   DEADLINE_MS, n, x->body ? x->body : "");
}

static const char *
header (const char *head, const char *name)
{
  const char *at = strcasestr (head, name);

  return at ? at + strlen (name) : NULL;
}

/* Returns whether TEXT of N bytes is a complete answer and sets BODY.  */
static int
is_whole (char *text, size_t n, char **body)
{
  char *end = strstr (text, "\r\n\r\n");
  const char *length;

  if (!end)
    return 0;
  *body = end + 4;
  length = header (text, "\nContent-Length:");
  return n - (size_t)(*body - text)
         >= (length ? strtoul (length, NULL, 10) : 0);
}

static void
receive (struct so_connection *c, struct so_exchange *x)
{
  char text[sizeof x->answer + 1024] = "", *body = text;
  const char *value;
  size_t n = 0;

  while (!is_whole (text, n, &body))
    {
      struct pollfd p = { c->fd, POLLIN, 0 };
      int64_t left = x->sent_ms + DEADLINE_MS - sf_now_ms ();
      ssize_t got;

      if (left <= 0 || poll (&p, 1, (int)left) <= 0)
        {
          x->end = SO_LOST;
          return;
        }
      got = recv (c->fd, text + n, sizeof text - 1 - n, 0);
      if (got <= 0)
        {
          x->end = SO_CUT;
          return;
        }
      n += (size_t)got;
      text[n] = '\0';
    }
  x->end = SO_ANSWERED;
  x->status = atoi (text + sizeof "HTTP/1.1");
  value = header (text, "\nRetry-After:");
  x->retry_after = value ? atoi (value) : 0;
  g_strlcpy (x->answer, body, sizeof x->answer);
  value = header (text, "\nConnection: close");
  if (value)
    so_disconnect (c);
}

/* Checks that a planned stop does not cut a request in progress.  */
static void
check_cut (struct soak *s, const struct so_connection *c,
           const struct so_exchange *x)
{
  so_lock (s);
  if (x->ended_ms - x->sent_ms > SO_MIN_CUT_MS
      && so_is_undisturbed (s, c->vm, x->sent_ms))
    bk_report_violation (
        &s->model, "vm%d cut %s %s after %lld ms (%s)", c->vm, x->method,
        x->path, (long long)(x->ended_ms - x->sent_ms),
        s->vm[c->vm].stopping ? "is stopping" : "not stopping");
  so_unlock (s);
}

void
so_exchange (struct soak *s, struct so_connection *c, struct so_exchange *x)
{
  char text[REQUEST_SIZE];
  int n = format_request (x, text);

  atomic_fetch_add (&s->calls, 1);
  x->status = x->retry_after = 0;
  x->end = SO_NOT_SENT;
  *x->answer = '\0';
  if (ensure_connected (s, c))
    return;
  x->sent_ms = sf_now_ms ();
  if (send (c->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
    {
      x->end = SO_LOST;
      so_disconnect (c);
      return;
    }
  receive (c, x);
  x->ended_ms = sf_now_ms ();
  if (x->end == SO_ANSWERED && x->status == NOT_SENT_ANSWER)
    x->end = SO_NOT_SENT;
  if (x->end == SO_CUT)
    check_cut (s, c, x);
  if (x->end != SO_ANSWERED)
    so_disconnect (c);
  if (x->end == SO_ANSWERED)
    atomic_fetch_add (&s->answered, 1);
  else
    atomic_fetch_add (&s->lost, 1);
}
