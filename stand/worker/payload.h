/* The member "fake" of a payload, which controls the simulated execution, and
   the answer to it, which identifies the request so that a caller can detect
   a mixed-up answer.  */
#ifndef WORKER_PAYLOAD_H
#define WORKER_PAYLOAD_H

#include <jansson.h>
#include <stdint.h>

enum
{
  SW_DEFAULT_RUN_MS = 5,
  SW_MAX_PAD_BYTES = 1 << 20 /* bytes of padding */
};

/* How a call or task is simulated.  */
struct sw_fake
{
  int64_t run_ms;
  int fails;
  int crashes; /* of a job: it ends the process when it begins to run */
  int hold;    /* a call runs until the worker is told to release it */
  int64_t answer_bytes; /* padding of the answer */
};

/* Reads FAKE from PAYLOAD.  If the payload has no run time, it is RUN_MS, or
   SW_DEFAULT_RUN_MS when RUN_MS is not above 0.  */
void sw_fake_parse (struct sw_fake *fake, json_t *payload, int64_t run_ms);
/* Copies the members "account" and "tag" of "fake" to a journal entry.  */
void sw_fake_label (json_t *entry, json_t *payload);
/* Returns a new answer with the members NAME (the text ID), "digest" (of the
   payload as compact JSON with sorted keys), "account" unless ACCOUNT is NULL,
   and "pad" if the payload asks for padding.  */
json_t *sw_fake_answer (json_t *payload, const char *name, const char *id,
                        const char *account);

#endif
