/* skr-batch on one VM with the stand-in of the platform's store.  */
#ifndef CROWDS_FAKE_BATCH_H
#define CROWDS_FAKE_BATCH_H

#include "fake_crowd.h"
#include "platform/stand/fake_platform.h"

enum
{
  /* The settings of these tests: a quarter of 2,048 connections, an eighth of
     512 requests.  */
  FB_CONNECTIONS = 512,
  FB_REQUESTS = 64,
  FB_BODY_BYTES = 260000, /* of a legal body */
  /* A quarter of the memory of a VM, which has 260 MiB.  */
  FB_MEMORY_KIB = 65 * CR_KIB
};

struct fb_batch
{
  struct cr_process process;
  struct sf_platform platform;
  char callers[CR_ADDRESS_SIZE], ready[CR_ADDRESS_SIZE];
  char metrics[CR_ADDRESS_SIZE], relay[CR_ADDRESS_SIZE];
  int jobs; /* submitted */
};

/* Starts skr-batch and waits until it is ready.  */
void fb_init (struct fb_batch *b);
/* Stops it.  Returns 1 if it ended as planned.  */
int fb_fini (struct fb_batch *b);
/* Submits a small job.  Returns the status of the answer, 0 if none comes.  */
int fb_submit (struct fb_batch *b);
/* Submits until a job is accepted.  Returns the last status.  */
int fb_await_accepted (struct fb_batch *b);
/* Asks for the state of the job submitted last.  */
int fb_ask_state (struct fb_batch *b);
/* Head of a submission by the crowd, whose body has the headers BODY.  */
int fb_head (char *out, size_t size, const char *body);

#endif
