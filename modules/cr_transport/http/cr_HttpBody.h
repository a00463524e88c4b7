#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace cr {

/** A body in receipt. It never holds much more memory than the bytes that have
    arrived, as a long body is not copied to grow. Not thread safe. */
class ReceivedBody
{
public:
  /** Announces the length, if the header tells it. Precondition: no bytes were
      appended. */
  void Expect(std::uint64_t aBytes);

  /** Appends bytes. */
  void Append(std::string_view aBytes);

  /** Returns the whole body. Must be called once at most. */
  std::string Take();

  /** Returns the number of bytes that were appended. */
  std::uint64_t Size() const { return m_size; }

  /** Returns about how much memory the body takes with aMore further bytes. */
  std::uint64_t MemoryWith(std::uint64_t aMore) const;

private:
  std::vector<std::string> m_fullBlocks;
  std::string m_lastBlock;
  std::uint64_t m_size = 0;
  std::uint64_t m_expected = 0;
};

// Beast prescribes the names of the members of body types.
// NOLINTBEGIN(readability-identifier-naming)

/** Body type of Beast for messages in receipt. */
struct ReceivedBodyType
{
  using value_type = ReceivedBody;

  class reader
  {
  public:
    template<bool IsRequest, typename Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*aHeader*/,
           value_type& aBody)
      : m_body(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& aLength,
              boost::beast::error_code& aError)
    {
      aError = {};
      if (aLength) {
        m_body.Expect(*aLength);
      }
    }

    template<typename Buffers>
    std::size_t put(const Buffers& aBuffers, boost::beast::error_code& aError)
    {
      aError = {};
      std::size_t bytes = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        m_body.Append(
          { static_cast<const char*>(buffer.data()), buffer.size() });
        bytes += buffer.size();
      }
      return bytes;
    }

    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& m_body;
  };
};

/** Body type of Beast for messages to send, whose body may be shared. */
struct SharedBodyType
{
  using value_type = std::shared_ptr<const std::string>;

  static std::uint64_t size(const value_type& aBody)
  {
    return aBody ? aBody->size() : 0;
  }

  class writer
  {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template<bool IsRequest, typename Fields>
    writer(const boost::beast::http::header<IsRequest, Fields>& /*aHeader*/,
           const value_type& aBody)
      : m_body(aBody)
    {
    }

    void init(boost::beast::error_code& aError) { aError = {}; }

    boost::optional<std::pair<const_buffers_type, bool>> get(
      boost::beast::error_code& aError)
    {
      aError = {};
      return { { m_body ? boost::asio::buffer(*m_body) : const_buffers_type(),
                 false } };
    }

  private:
    const value_type& m_body;
  };
};

// NOLINTEND(readability-identifier-naming)

}
