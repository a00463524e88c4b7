#pragma once

#include <map>
#include <mutex>
#include <string>

#include "cr_store/table/cr_StoreRequest.h"

namespace cr {

/** A platform in memory: transactional tables and an object store.

    It serves the quickstart, the stand-in platform program and tests. Thread
    safe: each call runs under one lock, so transactions are serializable. */
class InProcessPlatform
{
public:
  /** Carries out the request and returns its answer; never StoreFailed. A
      watch is answered at once, with no changes when there are none. */
  StoreAnswer Execute(const StoreRequest& aRequest);

  /** Forgets which rows changed up to now; watches from before get
      HistoryLost. */
  void Compact();

private:
  StoreAnswer Do(const TransactRequest& aRequest);
  StoreAnswer Do(const ScanRequest& aRequest) const;
  StoreAnswer Do(const ReadRequest& aRequest) const;
  StoreAnswer Do(const PutObjectRequest& aRequest);
  StoreAnswer Do(const GetObjectRequest& aRequest) const;
  StoreAnswer Do(const WatchRequest& aRequest) const;
  RowVersion VersionOf(const RowKey& aRow) const;

  std::mutex m_mutex;
  RowVersion m_lastVersion = 0;
  std::map<RowKey, Row> m_rows;
  /* The last change of each row by its version. */
  std::map<RowVersion, RowKey> m_history;
  RowVersion m_historyStart = 0;
  std::map<std::string, std::string> m_objects;
};

}
