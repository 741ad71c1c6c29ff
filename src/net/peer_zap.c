#include <string.h>
#include <zmq.h>

#include "net/peer_zap.h"

enum
{
  FRAMES = 7, /* version, id, domain, address, identity, mechanism, key */
  FRAME_ID = 1,
  FRAME_KEY = 6,
  FRAME_SIZE = 256 /* bytes */
};

struct frame
{
  char data[FRAME_SIZE];
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
zap_accept (struct zap *zap, const char *key, const char *other)
{
  const char *text[] = { key, other };

  zap->keys = 0;
  for (int i = 0; i < ZAP_KEYS; i++)
    if (*text[i] && zmq_z85_decode (zap->key[zap->keys], text[i]))
      zap->keys++;
}

static int
receive_request (void *socket, struct frame frame[FRAMES])
{
  int frames = 0, more = 1;
  size_t size = sizeof more;

  while (more)
    {
      struct frame extra;
      struct frame *f = frames < FRAMES ? &frame[frames] : &extra;

      f->size = zmq_recv (socket, f->data, FRAME_SIZE, ZMQ_DONTWAIT);
      if (f->size < 0)
        return -1;
      if (f->size > FRAME_SIZE)
        f->size = FRAME_SIZE;
      frames++;
      zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size);
    }
  return frames;
}

static int
is_accepted (const struct zap *zap, const struct frame *key)
{
  for (int i = 0; i < zap->keys; i++)
    if (key->size == ZAP_KEY_SIZE
        && !memcmp (key->data, zap->key[i], ZAP_KEY_SIZE))
      return 1;
  return 0;
}

int
zap_answer (struct zap *zap)
{
  struct frame frame[FRAMES];
  int refused = 0, frames;

  while ((frames = receive_request (zap->socket, frame)) >= 0)
    {
      int ok = frames == FRAMES && is_accepted (zap, &frame[FRAME_KEY]);
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
