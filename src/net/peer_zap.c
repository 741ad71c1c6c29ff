#include <string.h>
#include <zmq.h>

#include "net/peer_zap.h"

enum
{
  /* version, id, domain, address, identity, mechanism, key */
  REQUEST_FRAMES = 7,
  FRAME_ID = 1,
  FRAME_KEY = 6,
  MAX_FRAME_SIZE = 256 /* bytes */
};

struct frame
{
  char data[MAX_FRAME_SIZE];
  int size;
};

int
zap_open (struct zap *zap, void *ctx)
{
  zap->socket = zmq_socket (ctx, ZMQ_REP);
  if (!zap->socket)
    return -1;
  return zmq_bind (zap->socket, "inproc://zeromq.zap.01");
}

void
zap_close (struct zap *zap)
{
  if (zap->socket)
    zmq_close (zap->socket);
  zap->socket = NULL;
}

void
zap_set_accepted_keys (struct zap *zap, const char *key, const char *other)
{
  const char *text[] = { key, other };

  zap->key_count = 0;
  for (int i = 0; i < ZAP_MAX_KEYS; i++)
    if (*text[i] && zmq_z85_decode (zap->key[zap->key_count], text[i]))
      zap->key_count++;
}

static int
receive_request (void *socket, struct frame frame[REQUEST_FRAMES])
{
  int frames = 0, more = 1;
  size_t size = sizeof more;

  while (more)
    {
      struct frame extra;
      struct frame *f = frames < REQUEST_FRAMES ? &frame[frames] : &extra;

      f->size = zmq_recv (socket, f->data, MAX_FRAME_SIZE, ZMQ_DONTWAIT);
      if (f->size < 0)
        return -1;
      if (f->size > MAX_FRAME_SIZE)
        f->size = MAX_FRAME_SIZE;
      frames++;
      zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
    }
  return frames;
}

static int
is_accepted (const struct zap *zap, const struct frame *key)
{
  for (int i = 0; i < zap->key_count; i++)
    if (key->size == ZAP_KEY_SIZE
        && !memcmp (key->data, zap->key[i], ZAP_KEY_SIZE))
      return 1;
  return 0;
}

int
zap_answer_requests (struct zap *zap)
{
  struct frame frame[REQUEST_FRAMES];
  int refused = 0, frames;

  while ((frames = receive_request (zap->socket, frame)) >= 0)
    {
      int ok
          = frames == REQUEST_FRAMES && is_accepted (zap, &frame[FRAME_KEY]);
      size_t id = frames > FRAME_ID ? (size_t)frame[FRAME_ID].size : 0;

      refused += !ok;
      zmq_send (zap->socket, "1.0", 3, ZMQ_SNDMORE);
      zmq_send (zap->socket, frame[FRAME_ID].data, id, ZMQ_SNDMORE);
      zmq_send (zap->socket, ok ? "200" : "400", 3, ZMQ_SNDMORE);
      zmq_send (zap->socket, ok ? "OK" : "key", ok ? 2 : 3, ZMQ_SNDMORE);
      zmq_send (zap->socket, "", 0, ZMQ_SNDMORE);
      zmq_send (zap->socket, "", 0, 0);
    }
  return refused;
}
