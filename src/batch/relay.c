/* Relayed requests: sends them, decides what follows the end of a try, and
   accepts those of other VMs.  */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "batch/batch.h"

#define RELAY_HEADER "Skr-Relay"

enum
{
  MIN_REMAINING_MS = 300, /* a shorter time is not enough for a try */
  CONNECT_TIMEOUT_MS = 250,
  /* For so long nothing is relayed to a VM that refused a request, or that
     was not reached.  It bounds the requests in an outage of all VMs.  */
  AVOID_REFUSING_MS = 1000,
  AVOID_UNREACHABLE_MS = 5000,
  HEADER_SIZE = 600,
  OK = 200,
  MULTIPLE_CHOICES = 300,
  FORBIDDEN = 403,
  GONE = 410,
  UNAVAILABLE = 503,
  OUTCOME_UNKNOWN = 504
};

/* Whether the answer to a repeat tells how the request ended.  Submissions and
   cancellations may be executed twice, but a refusal says nothing about the
   earlier try.  */
static int
tells_end (int status)
{
  return (status >= OK && status < MULTIPLE_CHOICES) || status == GONE;
}

static enum rl_next
give_up (const struct rl_try *t)
{
  if (t->may_be_done)
    return RL_UNKNOWN;
  return t->status == UNAVAILABLE ? RL_PASS : RL_NOT_RUN;
}

/* A VM that answers 403 has another secret than its row says, as it was
   restarted; with 403 and 503 it has done nothing.  */
enum rl_next
rl_decide (const struct rl_try *t)
{
  switch (t->outcome)
    {
    case HC_ANSWERED:
      if (t->may_be_done && tells_end (t->status))
        return RL_PASS;
      if (t->status != FORBIDDEN && t->status != UNAVAILABLE)
        return t->may_be_done ? RL_UNKNOWN : RL_PASS;
      return t->tries < RL_MAX_TRIES ? RL_OTHER : give_up (t);
    case HC_NOT_SENT:
      return t->tries < RL_MAX_TRIES ? RL_OTHER : give_up (t);
    case HC_LOST:
      if (t->tries < RL_MAX_TRIES)
        return RL_OTHER;
      return t->is_lookup ? RL_NOT_RUN : RL_UNKNOWN;
    }
  return RL_UNKNOWN;
}

int
rl_is_relayed (struct hs_exchange *ex)
{
  return hs_header (ex, RELAY_HEADER) != NULL;
}

static int
is_lookup (const struct rl_call *c)
{
  return !strcmp (hs_get_request (c->ex)->method, "GET");
}

static void
free_call (struct rl_call *c)
{
  g_free (c->vm);
  g_free (c->body);
  g_free (c);
}

static void
log_call (const struct rl_call *c, const char *outcome)
{
  struct lg_field f[] = { lg_str ("id", c->id),
                          lg_str ("call", c->call),
                          lg_str ("vm", c->vm),
                          lg_str ("outcome", outcome),
                          lg_int ("status", c->status),
                          lg_int ("tries", c->tries),
                          lg_int ("took_ms", c->b->now_ms - c->began_ms) };

  lg_log (LG_RELAYED, 7, f);
}

/* Runs on the client's thread.  */
static void
on_answer (void *arg, const struct hc_answer *a)
{
  struct rl_call *c = arg;
  struct ba_event *e = g_new (struct ba_event, 1);

  c->outcome = a->outcome;
  c->status = a->outcome == HC_ANSWERED ? (int)a->status : 0;
  c->retry_after_s = (int)a->retry_after_s;
  g_free (c->body);
  c->body
      = a->outcome == HC_ANSWERED ? g_strndup (a->body, a->body_size) : NULL;
  e->kind = BA_RELAY_REPLY;
  e->u.relayed = c;
  ba_push (c->b, e);
}

static int
submit (struct rl_call *c, const struct rl_peer *peer, int remaining_ms)
{
  const struct hs_request *r = hs_get_request (c->ex);
  const char *host = hs_header (c->ex, "Host");
  char *path = g_uri_escape_string (r->path, "/:@!$&'()*+,;=", FALSE);
  char *url = g_strconcat ("http://", peer->address, path, NULL);
  char header[4][HEADER_SIZE];
  struct hc_request request = { .method = r->method,
                                .url = url,
                                .body = r->body_size ? r->body : NULL,
                                .header = { header[0], header[1], header[2] },
                                .timeout_ms = remaining_ms,
                                .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                .done = on_answer,
                                .arg = c };
  int error;

  snprintf (header[0], HEADER_SIZE, "Host: %s", host ? host : "");
  snprintf (header[1], HEADER_SIZE, "%s: %d", po_deadline_header (),
            remaining_ms);
  snprintf (header[2], HEADER_SIZE, RELAY_HEADER ": %s", peer->secret);
  if (r->authorization)
    {
      snprintf (header[3], HEADER_SIZE, "Authorization: %s", r->authorization);
      request.header[3] = header[3];
    }
  error = hc_submit (c->b->entry_port.client, &request);
  g_free (path);
  g_free (url);
  return error;
}

/* Sends C to a VM other than the last one.  Returns 0 if there is none or too
   little time remains.  */
static int
try_peer (struct rl_call *c)
{
  struct batch *b = c->b;
  int64_t remaining_ms = c->deadline_ms - b->now_ms;
  struct rl_peer *peer = rl_pick (b, c->vm);

  if (!peer || remaining_ms < MIN_REMAINING_MS
      || submit (c, peer, (int)remaining_ms))
    return 0;
  c->tries++;
  g_free (c->vm);
  c->vm = g_strdup (peer->vm);
  return 1;
}

int
rl_request (struct batch *b, struct hs_exchange *ex, const char *id,
            const char *call, int64_t deadline_ms)
{
  struct rl_call *c;

  if (!b->relay.peers || rl_is_relayed (ex) || atomic_load (&b->closed))
    return 0;
  c = g_new0 (struct rl_call, 1);
  c->b = b;
  c->ex = ex;
  c->call = call;
  c->began_ms = b->now_ms;
  c->deadline_ms = deadline_ms;
  g_strlcpy (c->id, id, sizeof c->id);
  if (!try_peer (c))
    {
      free_call (c);
      return 0;
    }
  g_ptr_array_add (b->relay.calls, c);
  return 1;
}

static void
avoid_peer (const struct rl_call *c)
{
  struct rl_relay *r = &c->b->relay;
  int avoid_ms
      = c->outcome == HC_ANSWERED ? AVOID_REFUSING_MS : AVOID_UNREACHABLE_MS;

  for (guint i = 0; i < r->peers->len; i++)
    {
      struct rl_peer *p = g_ptr_array_index (r->peers, i);

      if (!strcmp (p->vm, c->vm))
        p->avoid_until_ms = c->b->now_ms + avoid_ms;
    }
  r->turn++;
}

static void
finish (struct rl_call *c, int status, const char *body, const char *reason,
        int retry_after_s)
{
  struct batch *b = c->b;

  fr_answer_after (b, c->ex, c->id, c->call, status, body, reason,
                   retry_after_s);
  g_ptr_array_remove_fast (b->relay.calls, c);
  free_call (c);
}

static void
finish_unknown (struct rl_call *c)
{
  co_add (c->b, c->b->counters.relay_unknown, 1);
  log_call (c, "unknown");
  finish (c, OUTCOME_UNKNOWN, NULL, "unknown: the relay did not answer", 0);
}

static void
finish_not_run (struct rl_call *c)
{
  co_add (c->b, c->b->counters.relay_not_run, 1);
  log_call (c, "not run");
  finish (c, UNAVAILABLE, NULL,
          "not run: the store is away and no other VM serves", 0);
}

void
rl_on_reply (struct batch *b, struct rl_call *c)
{
  struct rl_try t = { .outcome = c->outcome,
                      .status = c->status,
                      .is_lookup = is_lookup (c),
                      .tries = c->tries,
                      .may_be_done = c->may_be_done };
  enum rl_next next = rl_decide (&t);

  if (next != RL_PASS)
    avoid_peer (c);
  c->may_be_done |= c->outcome == HC_LOST && !t.is_lookup;
  t.may_be_done = c->may_be_done;
  if (next == RL_OTHER)
    {
      if (try_peer (c))
        return;
      next = give_up (&t);
    }
  switch (next)
    {
    case RL_PASS:
      co_add (b, b->counters.relayed, 1);
      log_call (c, "answered");
      finish (c, c->status, c->body, "relayed", c->retry_after_s);
      break;
    case RL_UNKNOWN:
      finish_unknown (c);
      break;
    case RL_OTHER:
    case RL_NOT_RUN:
      finish_not_run (c);
      break;
    }
}

/* The replies may still arrive, so that the calls are kept.  */
void
rl_fail_all (struct batch *b)
{
  for (guint i = 0; b->relay.calls && i < b->relay.calls->len; i++)
    {
      struct rl_call *c = g_ptr_array_index (b->relay.calls, i);

      if (is_lookup (c))
        fr_answer_after (b, c->ex, c->id, c->call, UNAVAILABLE, NULL,
                         "not run: stopping", 0);
      else
        fr_answer_after (b, c->ex, c->id, c->call, OUTCOME_UNKNOWN, NULL,
                         "unknown: stopping", 0);
    }
}

/* Only a VM that could read this VM's row knows the secret.  */
static int
has_secret (const struct rl_relay *r, struct hs_exchange *ex)
{
  const char *secret = hs_header (ex, RELAY_HEADER);

  return secret && strlen (secret) == RL_SECRET_SIZE - 1
         && !sodium_memcmp (secret, r->secret, RL_SECRET_SIZE - 1);
}

int
rl_wants_body (void *arg, struct hs_exchange *ex)
{
  const struct batch *b = arg;

  return has_secret (&b->relay, ex);
}

void
rl_handle (void *arg, struct hs_exchange *ex)
{
  struct batch *b = arg;

  if (!has_secret (&b->relay, ex))
    {
      struct lg_field f = lg_str ("peer", hs_get_request (ex)->peer);

      lg_log (LG_RELAY_REFUSED, 1, &f);
      fr_refuse (ex, FORBIDDEN, "{\"error\":\"not run: wrong secret\"}");
      return;
    }
  fr_enqueue (b, b->relay.server, ex);
}
