/* Decides which CURVE keys may connect: the ZeroMQ authentication protocol
   (RFC 27) served on the net's own thread.  */
#ifndef NET_PEER_ZAP_H
#define NET_PEER_ZAP_H

enum
{
  ZAP_KEYS = 2,
  ZAP_KEY_SIZE = 32 /* bytes */
};

struct zap
{
  void *socket; /* NULL: not in use */
  int keys;
  unsigned char key[ZAP_KEYS][ZAP_KEY_SIZE];
};

/* Returns 0 or -1.  To be called before the first bind.  */
int zap_open (struct zap *zap, void *ctx);
void zap_close (struct zap *zap);
/* Replaces the accepted keys, in Z85; empty ones are left out.  */
void zap_accept (struct zap *zap, const char *key, const char *other);
/* Answers what has arrived; returns how many were refused.  */
int zap_answer (struct zap *zap);

#endif
