#pragma once

#include <map>
#include <mutex>
#include <string>

#include "cr_store/table/cr_StoreRequest.h"

namespace cr {

/** An in-memory platform: transactional tables and an object store.

    Used by the quickstart, the stand-in platform program and tests. Thread
    safe: each call runs under one lock, so transactions are serializable. */
class InProcessPlatform
{
public:
  /** Executes the request and returns its answer; never StoreFailed. A watch is
      answered immediately, without changes when there are none. */
  StoreAnswer Execute(const StoreRequest& aRequest);

  /** Drops the change history. Watches from an earlier version get
      HistoryLost, as those from a version that does not exist. */
  void Compact();

  /** Keeps a copy of the tables for Restore(). */
  void Save();

  /** Replaces the tables by the copy that Save() kept, and the versions and the
      change history with them. Starts a new era. */
  void Restore();

  //==========================================================================
  /** Returns the era of the tables. */
  StoreEra Era() const;

private:
  /* What a copy contains. */
  struct Tables
  {
    RowVersion m_lastVersion = 0;
    std::map<RowKey, Row> m_rows;
    /* The last change of each row, keyed by version. */
    std::map<RowVersion, RowKey> m_history;
    RowVersion m_historyStart = 0;
  };

  StoreAnswer Handle(const TransactRequest& aRequest);
  StoreAnswer Handle(const ScanRequest& aRequest) const;
  StoreAnswer Handle(const ReadRequest& aRequest) const;
  StoreAnswer Handle(const PutObjectRequest& aRequest);
  StoreAnswer Handle(const GetObjectRequest& aRequest) const;
  StoreAnswer Handle(const WatchRequest& aRequest) const;
  RowVersion VersionOf(const RowKey& aRow) const;

  mutable std::mutex m_mutex;
  Tables m_tables;
  Tables m_copy;
  StoreEra m_era = 1;
  std::map<std::string, std::string> m_objects;
};

}
