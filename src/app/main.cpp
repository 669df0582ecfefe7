#include <csignal>
#include <cstdio>

#include <CLI/CLI.hpp>

#include "loftrouter/app/daemon.hpp"
#include "loftrouter/app/features.hpp"
#include "loftrouter/app/settings.hpp"

int main(int argc, char **argv) {
  CLI::App app{"loftrouterd, a controller of the loftrouter cluster scheduler", "loftrouterd"};
  std::string config, features;
  bool check = false;
  app.add_option("--config", config, "settings file (JSON)")->required();
  app.add_option("--features", features, "what is switched on beyond that (TOML); see deploy/loftrouter.toml");
  app.add_flag("--check-config", check, "check the files and stop");
  app.set_version_flag("--version", std::string("loftrouterd ") + LOFTROUTER_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  auto loaded = loftrouter::app::load_settings(config);
  if (auto *problem = std::get_if<std::string>(&loaded)) {
    std::fprintf(stderr, "loftrouterd: settings: %s\n", problem->c_str());
    return 2;
  }
  auto &settings = std::get<loftrouter::Settings>(loaded);
  if (!features.empty()) {
    auto read = loftrouter::app::load_features(features);
    if (auto *problem = std::get_if<std::string>(&read)) {
      std::fprintf(stderr, "loftrouterd: features: %s\n", problem->c_str());
      return 2;
    }
    if (const auto problem = loftrouter::app::apply_features(std::get<loftrouter::app::Features>(read), settings);
        !problem.empty()) {
      std::fprintf(stderr, "loftrouterd: features: %s\n", problem.c_str());
      return 2;
    }
  }
  if (check) {
    std::puts("settings are good");
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  loftrouter::app::setup_logging();
  auto problem = loftrouter::app::run_daemon(settings);
  std::fprintf(stderr, "loftrouterd: %s\n", problem.c_str());
  return 1;
}
