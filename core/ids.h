#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace celeryspread {

/// String identifier with a type of its own, so that identifiers of different
/// kinds can't be confused.
/// @thread immutable value, safe to share between threads.
template<typename Tag>
class StrongId
{
public:
  /// Creates the empty identifier. @pre none.
  StrongId() = default;
  /// Wraps a string. @pre none; ids are validated where they are declared.
  explicit StrongId(std::string aValue)
    : m_value(std::move(aValue))
  {
  }
  /// Returns the string. @pre none.
  [[nodiscard]] const std::string& Value() const { return m_value; }
  /// Returns whether the identifier is empty. @pre none.
  [[nodiscard]] bool IsEmpty() const { return m_value.empty(); }
  /// Compares the strings. @pre none.
  auto operator<=>(const StrongId&) const = default;

private:
  std::string m_value;
};

/// Integer with a type of its own, so that quantities of different kinds can't
/// be confused.
/// @thread immutable value, safe to share between threads.
template<typename Tag>
class StrongNumber
{
public:
  /// Creates zero. @pre none.
  constexpr StrongNumber() = default;
  /// Wraps a value. @pre none.
  constexpr explicit StrongNumber(uint64_t aValue)
    : m_value(aValue)
  {
  }
  /// Returns the value. @pre none.
  [[nodiscard]] constexpr uint64_t Value() const { return m_value; }
  /// Compares the values. @pre none.
  constexpr auto operator<=>(const StrongNumber&) const = default;
  /// Adds. @pre the sum fits 64 bits.
  constexpr StrongNumber operator+(StrongNumber aOther) const
  {
    return StrongNumber(m_value + aOther.m_value);
  }
  /// Subtracts. @pre aOther is not larger.
  constexpr StrongNumber operator-(StrongNumber aOther) const
  {
    return StrongNumber(m_value - aOther.m_value);
  }
  /// Adds in place. @pre the sum fits 64 bits.
  constexpr StrongNumber& operator+=(StrongNumber aOther)
  {
    m_value += aOther.m_value;
    return *this;
  }
  /// Returns the next value. @pre not the largest value.
  [[nodiscard]] constexpr StrongNumber Next() const
  {
    return StrongNumber(m_value + 1);
  }

private:
  uint64_t m_value = 0;
};

using AdapterId = StrongId<struct AdapterTag>;
using AttemptId = StrongId<struct AttemptTag>;
using ChangeId = StrongId<struct ChangeTag>;
using ClaimKey = StrongId<struct ClaimKeyTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using InstanceId = StrongId<struct InstanceTag>;
using MemberId = StrongId<struct MemberTag>;
using ModelId = StrongId<struct ModelTag>;
using OperatorId = StrongId<struct OperatorTag>;
using PoolId = StrongId<struct PoolTag>;
using PlainServiceId = StrongId<struct PlainServiceTag>;
using PromptPartId = StrongId<struct PromptPartTag>;
using RegionId = StrongId<struct RegionTag>;
using RouteId = StrongId<struct RouteTag>;
using SchemeId = StrongId<struct SchemeTag>;
using ServiceId = StrongId<struct ServiceTag>;
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using TeamId = StrongId<struct TeamTag>;
using UpstreamId = StrongId<struct UpstreamTag>;
using VersionId = StrongId<struct VersionTag>;

using ByteCount = StrongNumber<struct ByteCountTag>;
using FencingToken = StrongNumber<struct FencingTokenTag>;
using LogIndex = StrongNumber<struct LogIndexTag>;
using Revision = StrongNumber<struct RevisionTag>;
using Term = StrongNumber<struct TermTag>;

} // namespace celeryspread

/// Hashes a StrongId by its string.
template<typename Tag>
struct std::hash<celeryspread::StrongId<Tag>>
{
  size_t operator()(const celeryspread::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>()(aId.Value());
  }
};
