/* Orders to the workers of a gang, and their answers.  */
#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_BUSY = 429,
  STATUS_LEAVING = 503
};

static json_t *
print_accelerators (uint64_t mask)
{
  json_t *list = json_array ();

  for (int i = 0; i < DC_MAX_ACCELERATORS; i++)
    if (mask >> i & 1)
      json_array_append_new (list, json_integer (i));
  return list;
}

static json_t *
hold_body (struct cl_cell *c, const struct wk_gang *g, const struct wk_part *p,
           const struct jb_job *job)
{
  json_t *tasks = json_array ();
  json_t *row = job ? jb_parse_row (job) : NULL;
  json_t *payload = json_object_get (row, "payload");
  json_t *body;

  for (int i = p->first_task; i < p->first_task + p->tasks; i++)
    json_array_append_new (
        tasks,
        json_pack (
            "{s:i, s:o}", "task", g->tasks_by_part[i], "accelerators",
            print_accelerators (g->place[g->tasks_by_part[i]].accelerators)));
  body = json_pack ("{s:o, s:I, s:I}", "tasks", tasks, "lease_ms",
                    (json_int_t)c->settings->task_lease_ms, "progress_ms",
                    (json_int_t)(job ? job->progress_ms : 0));
  if (payload)
    json_object_set (body, "payload", payload);
  json_decref (row);
  return body;
}

static const char *
order_path (enum wk_order order)
{
  switch (order)
    {
    case WK_ORDER_HOLD:
      return "/v1/tasks";
    case WK_ORDER_RUN:
      return "/v1/tasks/run";
    case WK_ORDER_CHECKPOINT:
      return "/v1/tasks/checkpoint";
    case WK_ORDER_STOP:
      return "/v1/tasks/stop";
    case WK_ORDER_ACK:
      return "/v1/tasks/ack";
    case WK_ORDER_NONE:
      break;
    }
  return "";
}

static json_t *
order_body (struct cl_cell *c, const struct wk_gang *g,
            const struct wk_part *p, enum wk_order order,
            const struct jb_job *job)
{
  json_t *body
      = order == WK_ORDER_HOLD ? hold_body (c, g, p, job) : json_object ();

  if (order == WK_ORDER_RUN || order == WK_ORDER_ACK)
    json_object_set_new (
        body, "jobs",
        json_pack ("[{s:s, s:i}]", "job", g->job, "attempt", g->attempt));
  else
    {
      json_object_set_new (body, "job", json_string (g->job));
      json_object_set_new (body, "attempt", json_integer (g->attempt));
    }
  json_object_set_new (body, "cell", json_string (c->name));
  json_object_set_new (body, "epoch", json_integer (c->lease.row.epoch));
  return body;
}

static void
send_order (struct cl_cell *c, struct wk_gang *g, struct wk_part *p,
            enum wk_order order, const struct jb_job *job)
{
  struct cl_effect e = { .kind = CL_ORDER, .cell = c };
  struct mb_worker *w = cl_worker (c, p->worker);
  json_t *body = order_body (c, g, p, order, job);

  e.u.order.ticket = (struct cl_ticket){ .request = CL_PART,
                                         .worker = p->worker,
                                         .tenure = c->tenure,
                                         .sent_ms = c->now_ms,
                                         .attempt = g->attempt,
                                         .order = order };
  memcpy (e.u.order.ticket.job, g->job, CT_NAME);
  e.u.order.address = w->address;
  e.u.order.path = order_path (order);
  e.u.order.body = body;
  e.u.order.timeout_ms = (int)c->settings->order_timeout_ms;
  if (order == WK_ORDER_HOLD)
    w->renewed_ms = c->now_ms; /* a hold also grants a lease */
  wk_note_order (p);
  mb_order_sent (w, c->now_ms, &c->worker_times);
  c->emit (c->arg, &e);
  json_decref (body);
}

void
cl_send_orders (struct cl_cell *c, struct wk_gang *g, const struct jb_job *job)
{
  for (int i = 0; i < g->parts; i++)
    {
      enum wk_order order = wk_next_order (g, &g->part[i], c->now_ms);
      const struct mb_worker *w = cl_worker (c, g->part[i].worker);

      /* A hold would extend the leases of a worker that no longer answers.  */
      if (order == WK_ORDER_HOLD
          && !mb_may_renew (w, c->now_ms, &c->worker_times))
        continue;
      if (order != WK_ORDER_NONE)
        send_order (c, g, &g->part[i], order, job);
    }
}

/* Returns the state in an answer: the top-level one, or that of the only job
   listed.  */
static const char *
answered_state (const json_t *body)
{
  const json_t *jobs = json_object_get (body, "jobs");
  const json_t *o = jobs ? json_array_get (jobs, 0) : body;

  return json_string_value (json_object_get (o, "state"));
}

static enum wk_answer
read_answer (long status, const json_t *body, enum wk_state *state)
{
  const char *text = answered_state (body);

  *state = wk_parse_state (text);
  switch (status)
    {
    case STATUS_OK:
      return text && !strcmp (text, "absent") ? WK_ABSENT : WK_OK;
    case STATUS_NOT_FOUND:
      return WK_ABSENT;
    case STATUS_BUSY:
      return WK_BUSY;
    case STATUS_BAD_REQUEST:
    case STATUS_CONFLICT:
    case STATUS_LEAVING:
      return WK_REFUSED;
    default:
      return WK_NO_ANSWER;
    }
}

void
cl_gang_order_done (struct cl_cell *c, const struct cl_ticket *t,
                    enum hc_outcome end, long status, const json_t *body)
{
  struct wk_gang *g = cl_find_gang (c, t->job, t->attempt, t->worker);
  enum wk_answer answer = WK_NO_ANSWER;
  enum wk_state state = WK_NEW;

  if (!g)
    return;
  if (end == HC_ANSWERED)
    {
      answer = read_answer (status, body, &state);
      mb_answered (cl_worker (c, t->worker), c->now_ms);
      if (status == STATUS_LEAVING)
        mb_set_leaving (cl_worker (c, t->worker), 1);
    }
  wk_note_answer (g, wk_find_part (g, t->worker), t->order, answer, state,
                  c->now_ms);
}

/* Whether an order was refused because the worker has seen a higher epoch, and
   the lease was lost by that.  */
static int
is_fenced (struct cl_cell *c, enum hc_outcome end, long status,
           const json_t *body)
{
  const json_t *epoch = json_object_get (body, "epoch");

  if (end != HC_ANSWERED || status != STATUS_CONFLICT
      || !json_is_integer (epoch))
    return 0;
  cl_observe_epoch (c, c->now_ms, json_integer_value (epoch));
  return c->phase == CL_WATCHING;
}

void
cl_order_done (struct cl_cell *c, int64_t now_ms, const struct cl_ticket *t,
               enum hc_outcome end, long status, const json_t *body)
{
  c->now_ms = now_ms;
  if (t->tenure != c->tenure || c->phase == CL_WATCHING)
    return;
  if (is_fenced (c, end, status, body))
    return;
  if (t->request == CL_PART)
    cl_gang_order_done (c, t, end, status, body);
  else
    cl_worker_answered (c, t, end == HC_ANSWERED, status, body);
}
