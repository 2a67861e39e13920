// Total capacity of the usable endpoints.
#pragma once

namespace gateway {

// Sums of the endpoints' weights. Invariant: the effective weight lies between 0 and the full weight.
class TotalCapacity {
public:
    // Adds an endpoint. `capacityShare`: the share of its full capacity that it has now, from 0 to 1; below 1
    // while it is warming up.
    void add(double weight, double capacityShare) {
        fullWeight_ += weight;
        effectiveWeight_ += weight * capacityShare;
        if (capacityShare >= 1) hasWarmEndpoint_ = true;
    }

    // The weight when every endpoint is warm.
    double fullWeight() const { return fullWeight_; }

    // The weight at the endpoints' present capacity.
    double effectiveWeight() const { return effectiveWeight_; }

    bool hasWarmEndpoint() const { return hasWarmEndpoint_; }

private:
    double fullWeight_ = 0;
    double effectiveWeight_ = 0;
    bool hasWarmEndpoint_ = false;
};

}  // namespace gateway
