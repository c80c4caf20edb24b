#pragma once

#include <string>

namespace burdockshelf
{

/// Command line of the stand-in. Times are in milliseconds before they are scaled.
struct engine_settings
{
    std::string listen = "127.0.0.1:0";
    std::string name = "engine";
    std::string role = "decode";
    std::string model = "model";
    int slots = 20;
    double timeScale = 1;
    /// A step takes stepBase + stepPerSequence * batch + promptToken * tokens of prompt that it works on.
    double stepBase = 8;
    double stepPerSequence = 0.6;
    double promptToken = 0.1;
    int promptTokensPerStep = 512;
    int bytesPerToken = 4;
    int kvBlocks = 64;
    int blockTokens = 4000;
    /// Chunks of 256 tokens that the prefix cache keeps.
    int cacheChunks = 400;
    double exportLifetime = 800;
    double resumeTime = 3000;
    double loadLag = 500;
    double linkTokensPerSecond = 200000;
    bool isWarm = false;
    /// Requests that a cold engine bears; grows by one with each that it has served.
    int coldCapacity = 3;
    double collapseFactor = 20;
    bool ignoresFencing = false;
};

} // namespace burdockshelf
