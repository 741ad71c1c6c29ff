/* Fuzzes the whole filter chain with a caller's request.  The first byte
   chooses an entry of the table of request kinds, and the remaining input is
   its body or the end of its path.  Without such an entry, the input consists
   of the lines method, path, Idempotency-Key and If-Match, and the body.  */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filter/chain.h"
#include "skr/base.h"

/* The names are defined by libFuzzer.  NOLINTBEGIN */
int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
/* NOLINTEND */

enum
{
  MAX_SIZE = 64 << 10, /* bytes */
  CHOICES = 8
};

static struct fl_account account;
static struct fl_fleet_worker worker = { "d1", "r1", 8, 8 };
static struct fl_fleet fleet = { &worker, 1, { { "d1", "vm-1", 8 } }, 1 };
static char operator_digest[BS_DIGEST_SIZE];

int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void)argc;
  (void)argv;
  bs_init ();
  strcpy (account.name, "a");
  bs_digest (account.key_digest, "key-a");
  bs_digest (operator_digest, "key-op");
  return 0;
}

static char *
split_line (char **rest)
{
  char *line = *rest, *end = strchr (line, '\n');

  if (!end)
    {
      *rest = line + strlen (line);
      return line;
    }
  *end = '\0';
  *rest = end + 1;
  return line;
}

/* Kinds of requests.  The input is the body of the first three and the end of
   the path of the others.  */
static const struct
{
  const char *method, *path;
} request_kinds[] = {
  { "POST", "/v1/calls" }, { "POST", "/v1/jobs" },  { "PUT", "/v1/plans" },
  { "GET", "/v1/jobs/" },  { "GET", "/v1/calls/" }, { "DELETE", "/v1/jobs/" },
};

/* Fills R for the request CHOICE from TEXT, which has SIZE bytes and a NUL. */
static void
fill_request (struct fl_request *r, unsigned choice, char *text, size_t size)
{
  static char path[MAX_SIZE + 32];
  char *rest = text;

  r->key = "k1";
  r->if_match = "\"1\"";
  if (choice < sizeof request_kinds / sizeof *request_kinds)
    {
      r->method = request_kinds[choice].method;
      snprintf (path, sizeof path, "%s%s", request_kinds[choice].path,
                choice > 2 ? text : "");
      r->path = path;
    }
  else
    {
      r->method = split_line (&rest);
      r->path = split_line (&rest);
      r->key = split_line (&rest);
      r->if_match = split_line (&rest);
    }
  r->body = choice > 2 && choice < sizeof request_kinds / sizeof *request_kinds
                ? ""
                : rest;
  r->body_size = *r->body ? size - (size_t)(rest - text) : 0;
}

static void
run (unsigned choice, char *text, size_t size, const char *authorization)
{
  struct fl_env env = { .account = &account,
                        .accounts = 1,
                        .operator_digest = operator_digest,
                        .fleet = &fleet,
                        .max_in_progress = 100 };
  struct fl_request r = { .authorization = authorization };

  fl_limit_init (&account.limit, 0);
  fill_request (&r, choice, text, size);
  fl_chain_run (&env, &r);
  fl_request_fini (&env, &r);
  if (account.limit.in_progress != 0)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text;

  if (size < 1 || size > MAX_SIZE)
    return 0;
  text = malloc (size);
  memcpy (text, data + 1, size - 1);
  text[size - 1] = '\0';
  run ((data[0] >> 1) % CHOICES, text, size - 1,
       data[0] & 1 ? "Bearer key-op" : "Bearer key-a");
  free (text);
  return 0;
}
