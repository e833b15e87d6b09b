// Guards against an accepted revision that reverts, acceptance of two changes based on the same
// revision, and invalid items in force.
#include "decisions/config/control_state.h"

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

ConfigItem
Item(const ItemBody& aBody)
{
  return ConfigItem({ .path = PathOf(aBody), .body = aBody });
}

ConfigItem
OrganisationItem(const std::string& aName)
{
  return Item(Organisation({ .name = aName, .rate = 10, .burst = 10 }));
}

LogRecord
Change(std::uint64_t aOffset, const std::string& aRevision, const std::string& aBasedOn)
{
  return LogRecord(
    { .offset = aOffset,
      .record = ConfigChange(
        { .revision = aRevision, .basedOn = aBasedOn, .puts = { OrganisationItem(aRevision) } }) });
}

TEST(ControlState, AcceptsOnlyTheFirstOfTwoChangesBasedOnOneRevision)
{
  ControlState state;
  EXPECT_EQ(state.Apply(Change(0, "r1", "")), ApplyResult(ChangeAccepted{ "r1" }));
  EXPECT_EQ(state.Apply(Change(1, "r2", "r1")), ApplyResult(ChangeAccepted{ "r2" }));
  const ApplyResult late = state.Apply(Change(2, "r3", "r1"));
  ASSERT_TRUE(std::holds_alternative<ChangeRejected>(late));
  EXPECT_EQ(std::get<ChangeRejected>(late).code, ResultCode::kConfigConflict);
  EXPECT_EQ(state.Revision(), "r2");
  EXPECT_EQ(state.FindOrganisation("r3"), nullptr);
}

TEST(ControlState, AppliesARepeatedRecordOnce)
{
  ControlState state;
  state.Apply(Change(0, "r1", ""));
  state.Apply(Change(1, "r2", "r1"));
  const ControlState before = state;
  EXPECT_EQ(state.Apply(Change(0, "r1", "")), ApplyResult(NoChange{}));
  EXPECT_EQ(state.ToSnapshot(), before.ToSnapshot());
}

TEST(ControlState, RejectsInvalidItems)
{
  struct Case
  {
    const char* name;
    std::vector<ConfigItem> puts;
  };
  const Case cases[] = {
    { "key of an unknown organisation", { Item(KeyRecord({ .hash = "h", .organisation = "x" })) } },
    { "shares above one",
      { Item(Domain({ .name = "a", .region = "r", .hosts = 1, .share = 0.6 })),
        Item(Domain({ .name = "b", .region = "r", .hosts = 1, .share = 0.6 })) } },
    { "path of another item",
      { ConfigItem({ .path = "organisations/y",
                     .body = Organisation({ .name = "x", .rate = 1, .burst = 1 }) }) } },
    { "route prefix without a slash",
      { Item(Service({ .name = "s",
                       .slots = 1,
                       .connections = 1,
                       .routes = { Route({ .method = "GET", .prefix = "x" }) } })) } },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    ControlState state;
    const ApplyResult result = state.Apply(
      LogRecord({ .record = ConfigChange({ .revision = "r1", .puts = testCase.puts }) }));
    ASSERT_TRUE(std::holds_alternative<ChangeRejected>(result));
    EXPECT_EQ(std::get<ChangeRejected>(result).code, ResultCode::kConfigInvalid);
    EXPECT_EQ(state.Revision(), "");
  }
}

TEST(ControlState, SnapshotRestoresTheWholeState)
{
  ControlState state;
  state.Apply(Change(0, "r1", ""));
  state.Apply(LogRecord(
    { .offset = 1,
      .record = ConfigChange({ .revision = "r2",
                               .basedOn = "r1",
                               .puts = { Item(KeyRecord({ .hash = "h", .organisation = "r1" })),
                                         Item(Policy({ .retryAllowance = 7 })) } }) }));
  const ControlState copy(state.ToSnapshot());
  EXPECT_EQ(copy.ToSnapshot(), state.ToSnapshot());
  EXPECT_EQ(copy.GetPolicy().RetryAllowance(), 7U);
  ASSERT_NE(copy.FindKey("h"), nullptr);
}

TEST(ControlState, RemovesAKey)
{
  ControlState state;
  state.Apply(LogRecord(
    { .record =
        ConfigChange({ .revision = "r1",
                       .puts = { OrganisationItem("x"),
                                 Item(KeyRecord({ .hash = "h", .organisation = "x" })) } }) }));
  state.Apply(LogRecord(
    { .offset = 1,
      .record = ConfigChange({ .revision = "r2", .basedOn = "r1", .removes = { "keys/h" } }) }));
  EXPECT_EQ(state.FindKey("h"), nullptr);
}

} // namespace
} // namespace jackdawwind
