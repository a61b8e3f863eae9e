#ifndef GV_DOCUMENTS_H
#define GV_DOCUMENTS_H

#include "ledger.h"

/* Reads operators' settings files and splits them into the documents of a
   settings record. Lists hold gv_document_t and are released with
   g_ptr_array_unref. */

GPtrArray *GvDocuments_New(void);
void GvDocuments_Collect(const char *path, GPtrArray *files,
                         gv_problems_t *problems);
void GvDocuments_Split(const gv_document_t *file, GPtrArray *out);
char *GvDocuments_Key(const gv_document_t *d);
int GvDocuments_Check(const GPtrArray *docs, bool link,
                      gv_problems_t *problems);

#endif
