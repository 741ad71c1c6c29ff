/* A check before messages are decoded.  */
#ifndef NET_PEER_BOUND_H
#define NET_PEER_BOUND_H

/* The msgpack library allocates an array when it sees its header, whatever
   count that claims.  Returns 0 when no header of DATA claims more elements
   than its SIZE bytes can hold, so that decoding allocates in proportion to
   SIZE; else PR_EINVAL.  */
int pr_check_bounds (const char *data, int size);

#endif
