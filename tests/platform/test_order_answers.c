/* What the answers of a worker to orders mean, through a fake HTTP client.  */
#include <stdlib.h>
#include <string.h>

#include "skr/port.h"
#include "suite.h"

static struct hc_answer http;
static struct po_order_answer got;
static int is_done;

int
hc_submit (struct hc_client *client, const struct hc_request *request)
{
  (void)client;
  if (http.outcome == HC_ANSWERED && !http.status)
    return HC_EFULL;
  http.body_size = http.body ? strlen (http.body) : 0;
  request->done (request->arg, &http);
  return 0;
}

static void
note_answer (void *arg, const struct po_order_answer *answer)
{
  (void)arg;
  got = *answer;
  is_done = 1;
}

static void
note_listing (void *arg, struct po_listing *listing)
{
  note_answer (arg, &listing->answer);
  po_listing_free (listing);
}

static const struct po_target target
    = { .address = "10.0.0.1:80", .id = "i-1", .token = 3 };

static int
send_start (void)
{
  struct po_port port = { NULL, "" };
  struct sj_order order
      = { .kind = SJ_START, .worker = "i-1", .payload = "", .checkpoint = "" };

  is_done = 0;
  return po_start (&port, &target, &order, 5000, 300, note_answer, NULL);
}

static int
send_stop (void)
{
  struct po_port port = { NULL, "" };
  struct sj_run run = { .number = 1 };

  is_done = 0;
  return po_stop (&port, &target, &run, 300, note_answer, NULL);
}

static int
send_hold (void)
{
  struct po_port port = { NULL, "" };

  is_done = 0;
  return po_hold (&port, &target, 0, 5000, 0, 300, note_listing, NULL);
}

struct answer_case
{
  long status;
  const char *body;
  enum hc_outcome outcome;
  enum sj_answer answer;
  int fenced, replaced;
};

/* Guards against TWICE and LIMIT: an answer that leaves open whether an order
   was carried out was taken for a refusal.  */
static void
test_answers_to_orders (void)
{
  static const struct answer_case cases[] = {
    { 200, "{\"clock_ms\":5}", HC_ANSWERED, SJ_EXECUTED, 0, 0 },
    { 200, "", HC_ANSWERED, SJ_EXECUTED, 0, 0 },
    { 409, "{\"reason\":\"fence\"}", HC_ANSWERED, SJ_REFUSED, 1, 0 },
    { 409, "{\"reason\":\"old\"}", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 409, "{\"reason\":\"late\"}", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 409, "{\"reason\":\"room\"}", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 409, "{\"reason\":\"ticket\"}", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 409, "{\"reas", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 421, "", HC_ANSWERED, SJ_REFUSED, 0, 1 },
    { 429, "", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 400, "", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 503, "", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 201, "", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 302, "", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 404, "", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 500, "", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 502, "", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 504, "", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 0, NULL, HC_NOT_SENT, SJ_REFUSED, 0, 0 },
    { 0, NULL, HC_LOST, SJ_UNANSWERED, 0, 0 },
    /* The connection ended within the answer.  */
    { 503, "{", HC_LOST, SJ_UNANSWERED, 0, 0 },
    { 409, "{\"reason\":\"fence\"}", HC_LOST, SJ_UNANSWERED, 0, 0 },
    { 421, "", HC_LOST, SJ_UNANSWERED, 0, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    for (int stop = 0; stop < 2; stop++)
      {
        const struct answer_case *c = &cases[i];

        http = (struct hc_answer){ .outcome = c->outcome,
                                   .status = c->status,
                                   .body = c->body };
        CU_ASSERT_EQUAL (stop ? send_stop () : send_start (), 0);
        CU_ASSERT (is_done);
        CU_ASSERT_EQUAL (got.answer, c->answer);
        CU_ASSERT_EQUAL (got.fenced, c->fenced);
        CU_ASSERT_EQUAL (got.replaced, c->replaced);
      }
}

/* A full client sends nothing and calls nothing back.  */
static void
test_full_client (void)
{
  http = (struct hc_answer){ .outcome = HC_ANSWERED };
  CU_ASSERT_EQUAL (send_start (), PO_EFULL);
  CU_ASSERT_FALSE (is_done);
  CU_ASSERT_EQUAL (send_stop (), PO_EFULL);
  CU_ASSERT_FALSE (is_done);
  CU_ASSERT_EQUAL (send_hold (), PO_EFULL);
  CU_ASSERT_FALSE (is_done);
}

/* Guards against LOST and TWICE: a listing without its lists was taken for one
   of a worker that runs nothing.  */
static void
test_incomplete_listings (void)
{
  static const struct answer_case cases[] = {
    { 200, "{\"running\":[],\"ended\":[]}", HC_ANSWERED, SJ_EXECUTED, 0, 0 },
    { 200, "{\"running\":[]}", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 200, "{\"ended\":[]}", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 200, "{\"running\":{},\"ended\":[]}", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 200, "{\"running\":[],", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 200, "", HC_ANSWERED, SJ_UNANSWERED, 0, 0 },
    { 503, "", HC_ANSWERED, SJ_REFUSED, 0, 0 },
    { 200, "{\"running\":[],\"ended\":[]}", HC_LOST, SJ_UNANSWERED, 0, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      http = (struct hc_answer){ .outcome = cases[i].outcome,
                                 .status = cases[i].status,
                                 .body = cases[i].body };
      CU_ASSERT_EQUAL (send_hold (), 0);
      CU_ASSERT (is_done);
      CU_ASSERT_EQUAL (got.answer, cases[i].answer);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "answers", test_answers_to_orders },
    { "full client", test_full_client },
    { "incomplete listings", test_incomplete_listings },
    CU_TEST_INFO_NULL,
  };

  return run_suite ("order answers", tests);
}
