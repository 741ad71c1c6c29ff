/* Responses to callers and operators, and their metrics.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

static const char *
class_name (const struct en_request *req)
{
  if (req->fr.op == FL_OP_JOB && req->fr.json)
    return req->fr.u.job.urgent ? "urgent" : "bulk";
  return "urgent";
}

static const char *
account_name (const struct en_core *core, const struct en_request *req)
{
  if (req->fr.account < 0 || req->fr.account >= core->env.accounts)
    return "";
  return core->env.account[req->fr.account].name;
}

/* True for a call or a job of a known account, which the error budget report
   counts.  */
static int
counts_for_slo (const struct en_request *req)
{
  return (req->fr.op == FL_OP_CALL || req->fr.op == FL_OP_JOB)
         && req->fr.account >= 0;
}

static void
request_labels (char out[ST_LABELS_SIZE], const struct en_core *core,
                const struct en_request *req, const char *name,
                const char *value)
{
  int n = snprintf (out, ST_LABELS_SIZE, "class=\"%s\",account=\"%s\"",
                    class_name (req), account_name (core, req));

  if (name && n < ST_LABELS_SIZE)
    snprintf (out + n, (size_t)(ST_LABELS_SIZE - n), ",%s=\"%s\"", name,
              value);
}

static void
count_answer (struct en_core *core, const struct en_request *req, int status,
              const char *state)
{
  char labels[ST_LABELS_SIZE];

  snprintf (labels, sizeof labels, "status=\"%d\"", status);
  st_add (&core->stat, core->stat_shard,
          st_series (&core->stat, ST_COUNTER, "skr_answers_total", labels), 1);
  if (!counts_for_slo (req) || !state)
    return;
  request_labels (labels, core, req, "end", state);
  st_add (&core->stat, core->stat_shard,
          st_series (&core->stat, ST_COUNTER, "skr_requests_total", labels),
          1);
  request_labels (labels, core, req, NULL, NULL);
  st_observe_us (
      &core->stat, core->stat_shard,
      st_series (&core->stat, ST_HISTOGRAM, "skr_request_seconds", labels),
      en_now_us () - req->began_us);
}

void
en_observe_phase (struct en_core *core, const struct en_request *req,
                  const char *part, int64_t us)
{
  char labels[ST_LABELS_SIZE];

  request_labels (labels, core, req, "part", part);
  st_observe_us (
      &core->stat, core->stat_shard,
      st_series (&core->stat, ST_HISTOGRAM, "skr_part_seconds", labels), us);
}

/* The strings of the HTTP request are freed with its exchange, so every
   pointer to them is cleared.  */
static void
send_answer (struct en_core *core, struct en_request *req,
             const struct hs_answer *a, const char *state)
{
  struct hs_exchange *ex = req->ex;

  if (!ex)
    return;
  req->ex = NULL;
  req->fr.method = req->fr.path = req->fr.authorization = NULL;
  req->fr.attempt_text = req->fr.key = req->fr.if_match = req->fr.body = NULL;
  count_answer (core, req, a->status, state);
  hs_answer (ex, a);
}

void
en_answer_text (struct en_core *core, struct en_request *req, int status,
                const char *type, const char *body)
{
  send_answer (core, req,
               &(struct hs_answer){ status, type, body, { { NULL, NULL } } },
               NULL);
}

void
en_answer_json (struct en_core *core, struct en_request *req, int status,
                json_t *body, const char *header, const char *value)
{
  char *text = json_dumps (body, JSON_COMPACT);

  send_answer (core, req,
               &(struct hs_answer){
                   status, "application/json", text, { { header, value } } },
               "done");
  free (text);
  json_decref (body);
}

void
en_answer_problem (struct en_core *core, struct en_request *req,
                   const struct fl_problem *problem, json_t *more)
{
  const char *state = fl_problem_state (problem->kind);
  json_t *o = fl_problem_json (problem);
  struct hs_header header = { NULL, NULL };
  char retry[16];
  char *text;

  if (more)
    json_object_update (o, more);
  json_decref (more);
  text = json_dumps (o, JSON_COMPACT);
  snprintf (retry, sizeof retry, "%d", problem->retry_after_s);
  if (problem->retry_after_s)
    header = (struct hs_header){ "Retry-After", retry };
  else if (problem->kind == FL_PROBLEM_UNAUTHORIZED)
    header = (struct hs_header){ "WWW-Authenticate", "Bearer" };
  send_answer (core, req,
               &(struct hs_answer){ fl_problem_status (problem->kind),
                                    "application/problem+json",
                                    text,
                                    { header } },
               state);
  free (text);
  json_decref (o);
}

void
en_refuse (struct en_core *core, struct en_request *req,
           enum fl_problem_kind kind, const char *detail)
{
  struct fl_problem p = { .kind = FL_PROBLEM_NONE };

  fl_problem_set (&p, kind, en_jitter (core), "%s", detail);
  if (req->fr.op == FL_OP_CALL || req->fr.op == FL_OP_JOB)
    fl_mark_unproved (&req->fr, &p,
                      req->fr.op == FL_OP_CALL
                          && req->u.call.machine.sole_attempt,
                      en_jitter (core));
  en_answer_problem (core, req, &p, NULL);
}
