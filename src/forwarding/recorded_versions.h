#pragma once

#include "core/deadline.h"
#include "forwarding/stream_origin.h"
#include "forwarding/version_record.h"

#include <chrono>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// Decides which records of versions an instance writes to the store. A version is recorded before any instance begins a stream at it, and
/// stays recorded for the retention after its last endpoint. A record that is read after a caller has resumed a stream therefore contains
/// the version of that stream, unless the stream is older than that. Does no I/O.
class recorded_versions
{
public:
    /// How long a version stays recorded after its last endpoint. Callers give their streams up sooner.
    static constexpr std::chrono::milliseconds retention {60000};
    /// Instances remove a version at different times within this period, so that one does it and the others read of it.
    static constexpr std::chrono::milliseconds retentionSpread {10000};

    /// The spread is this instance's part of retentionSpread.
    explicit recorded_versions(std::chrono::milliseconds spread);

    /// The versions of the services' registered endpoints. A version that returns after a while may not begin streams until the records
    /// have been read again, because another instance may have removed it.
    void setRegistered(const service_versions &registered, instant now);
    /// All records of the store. After a restore from an older copy they may lack versions that the store had acknowledged; otherwise
    /// another instance has removed those.
    void setRecorded(const service_versions &recorded, bool isAfterRestore, instant now);
    /// The store has acknowledged a record.
    void noteWritten(const version_record &written);

    /// The record to write next: with versions that are registered or were lost, or without those whose retention has ended.
    std::optional<version_record> nextRecord(instant now) const;
    /// When a record without a version becomes due; never if no version is being retained.
    deadline nextRemoval() const;
    /// The versions that are known to be recorded.
    const service_versions &recorded() const;
    /// True while more than one version of a service is recorded.
    bool isMixed() const;
    /// True while the store lacks a version that it had acknowledged before a restore. Nothing may be concluded from the records then.
    bool hasLost() const;
    /// The recorded versions and those that will be: a registered version may have begun streams of which a restored store knows nothing.
    service_versions possible() const;

private:
    deadline retainedUntil(const service_id &service, const service_version &version) const;

    std::chrono::milliseconds m_spread;
    service_versions m_registered;
    service_versions m_recorded;
    /// Versions that the store had acknowledged and lacks.
    service_versions m_lost;
    /// When the last endpoint of a recorded version was found to be missing.
    std::map<std::pair<service_id, service_version>, instant> m_unregisteredSince;
};

/// The origin of a stream that may have begun at any of the services, if the records, read after the caller has resumed it, leave only
/// one. An unknown version is none.
std::optional<stream_origin> onlyOrigin(const std::vector<service_id> &services, const service_versions &recorded);

} // namespace burdockshelf
