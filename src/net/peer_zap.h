/* Handler of the ZeroMQ authentication protocol (ZAP, RFC 27): accepts
   connections with known CURVE keys.  Runs on the peer network's thread.  */
#ifndef NET_PEER_ZAP_H
#define NET_PEER_ZAP_H

enum
{
  ZAP_MAX_KEYS = 2,
  ZAP_KEY_SIZE = 32 /* bytes */
};

struct zap
{
  void *socket; /* NULL when CURVE is not used */
  int key_count;
  unsigned char key[ZAP_MAX_KEYS][ZAP_KEY_SIZE];
};

/* Returns 0 or -1.  Must be called before the first bind.  */
int zap_open (struct zap *zap, void *ctx);
void zap_close (struct zap *zap);
/* Replaces the accepted keys, given in Z85; empty strings are ignored.  */
void zap_set_accepted_keys (struct zap *zap, const char *key,
                            const char *other);
/* Answers all pending requests; returns the number of refused ones.  */
int zap_answer_requests (struct zap *zap);

#endif
