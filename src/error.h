#ifndef GV_ERROR_H
#define GV_ERROR_H

/* Error numbers. Functions return 0 or a positive value on success. */
enum {
    GV_OK = 0,
    GV_EINVAL = -1,    /* malformed or out-of-range input */
    GV_ENOMEM = -2,    /* allocation failed, or a table is at its limit */
    GV_ETOOBIG = -3,   /* input over its size limit */
    GV_EAGAIN = -4,    /* more input or a later attempt is needed */
    GV_ETIMEDOUT = -5, /* deadline passed */
    GV_ECONN = -6,     /* connection refused, reset or closed */
    GV_ENOENT = -7,    /* no such object */
    GV_EEXIST = -8,    /* object exists already */
    GV_EFULL = -9,     /* bounded queue or table is full */
    GV_ESTALE = -10,   /* state, version or fence is out of date */
    GV_EREFUSED = -11, /* a rule does not allow it */
    GV_EGONE = -12,    /* offset no longer retained */
    GV_EIO = -13,      /* other input or output failure */
    GV_ESTOPPED = -14  /* the object is being shut down */
};

const char *Gv_StrError(int err);

#endif
