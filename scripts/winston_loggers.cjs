// The part of winston that a node on the platform uses. Its transports for consoles, files and HTTP load modules that cost start-up time.
module.exports = {
  createLogger: require('../node_modules/winston/lib/winston/create-logger'),
  format: require('../node_modules/logform/format'),
  transports: {
    Stream: require('../node_modules/winston/lib/winston/transports/stream'),
  },
};
