// The part of undici that a node on the platform uses. Loading the whole library would take several megabytes more.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher');
const Client = require('../node_modules/undici/lib/dispatcher/client');
const Pool = require('../node_modules/undici/lib/dispatcher/pool');

Dispatcher.prototype.request = require('../node_modules/undici/lib/api/api-request');

const buildConnector = require('../node_modules/undici/lib/core/connect');

module.exports = {Client, Pool, buildConnector};
